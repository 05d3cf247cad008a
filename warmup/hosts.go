package warmup

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// hostList holds the hosts that share the targets: those of the current list, and for a
// while those that were on an earlier one.
type hostList struct {
	self   pimentospread.HostID
	listed bool
	hosts  []host
	// revision increases with each change of hosts.
	revision uint64
	// leaving is set while a host is counted that is no longer listed.
	leaving bool
}

// host is a host that shares the targets.
type host struct {
	id   pimentospread.HostID
	hash uint64
	// left is when the host was found missing from the list. It is zero while it is listed.
	left time.Time
}

// set replaces the list. It reports whether the host itself is newly listed.
func (h *hostList) set(now time.Time, self pimentospread.HostID, ids []pimentospread.HostID) bool {
	listed := make(map[pimentospread.HostID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	joined := listed[self] && (!h.listed || self != h.self)
	h.self, h.listed, h.leaving = self, listed[self], false
	for i := range h.hosts {
		known := &h.hosts[i]
		switch {
		case listed[known.id]:
			known.left = time.Time{}
			delete(listed, known.id)
		case known.left.IsZero():
			known.left = now
		}
		h.leaving = h.leaving || !known.left.IsZero()
	}
	for id := range listed {
		h.hosts = append(h.hosts, host{id: id, hash: xxhash.Sum64String(string(id))})
	}
	if joined || len(listed) > 0 {
		h.revision++
	}
	return joined
}

// expire drops the hosts that left at least the given time ago.
func (h *hostList) expire(now time.Time, after time.Duration) {
	if !h.leaving {
		return
	}
	before := len(h.hosts)
	h.hosts = slices.DeleteFunc(h.hosts, func(m host) bool { return !m.left.IsZero() && now.Sub(m.left) >= after })
	if len(h.hosts) < before {
		h.revision++
		h.leaving = slices.ContainsFunc(h.hosts, func(m host) bool { return !m.left.IsZero() })
	}
}

// sharing returns the number of hosts that share a target. A host without others in its list
// takes the share that it would have among many: it may be one of many with such a list.
func (h *hostList) sharing() int {
	if len(h.hosts) <= 1 {
		return math.MaxInt
	}
	return len(h.hosts)
}

// rank returns the position of the host itself in the rendezvous order of the target's hosts.
// Joining and leaving hosts move the others by at most one position.
func (h *hostList) rank(token pimentospread.Token) int {
	own, rank := weight(xxhash.Sum64String(string(h.self)), token), 0
	for _, other := range h.hosts {
		w := weight(other.hash, token)
		if w > own || w == own && other.id < h.self {
			rank++
		}
	}
	return rank
}

// weight returns the position of a host in the order of a target. The highest comes first.
func weight(hash uint64, token pimentospread.Token) uint64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:8], hash)
	binary.BigEndian.PutUint32(b[8:], uint32(token))
	return xxhash.Sum64(b[:])
}
