package dataplane

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
)

const (
	// writtenHolders keep a record.
	writtenHolders = 2
	// askedHolders are two in each of the two failure domains that are written
	// to. A joining host can displace the holder of one domain while the holder
	// of the other dies; a third holder by plain rank missed the record then.
	askedHolders = 4
)

// holders ranks the live hosts for a flow without allocation: the two failure
// domains that rank first, and in each of them the two hosts that rank first.
type holders struct {
	self    pimentospread.HostID
	hosts   []rankedHost
	domains []rankedDomain
}

type rankedHost struct {
	id     pimentospread.HostID
	domain int
	hash   uint64
}

type rankedDomain struct {
	id   pimentospread.FailureDomain
	hash uint64
}

// holderList holds indexes into holders.hosts, best first.
type holderList struct {
	index [askedHolders]int
	n     int
}

func newHolders(self pimentospread.HostID, live []member.Candidate) holders {
	h := holders{self: self}
	domains := map[pimentospread.FailureDomain]int{}
	for _, c := range live {
		d, ok := domains[c.FailureDomain]
		if !ok {
			d = len(h.domains)
			domains[c.FailureDomain] = d
			h.domains = append(h.domains, rankedDomain{c.FailureDomain, xxhash.Sum64String("domain " + string(c.FailureDomain))})
		}
		h.hosts = append(h.hosts, rankedHost{c.ID, d, xxhash.Sum64String(string(c.ID))})
	}
	return h
}

// tagOf returns the short hash of a host's identifier, never zero.
func tagOf(id pimentospread.HostID) flow.HostTag {
	return flow.HostTag(1 + xxhash.Sum64String(string(id))%255)
}

func (h *holders) has(id pimentospread.HostID) bool {
	for i := range h.hosts {
		if h.hosts[i].id == id {
			return true
		}
	}
	return false
}

// rank returns up to n holders of a flow.
func (h *holders) rank(id pimentospread.FlowID, n int) holderList {
	var l holderList
	first := h.domain(id, -1)
	second := h.domain(id, first)
	for l.n < n {
		before := l.n
		l = h.appendBest(l, id, first)
		if second >= 0 && l.n < n {
			l = h.appendBest(l, id, second)
		}
		if l.n == before {
			return l
		}
	}
	return l
}

func (h *holders) domain(id pimentospread.FlowID, except int) int {
	best, high := -1, uint64(0)
	for i := range h.domains {
		if s := mix(uint64(id), h.domains[i].hash); i != except && (best < 0 || s > high) {
			best, high = i, s
		}
	}
	return best
}

// appendBest adds the best host of a domain that is not in the list yet.
func (h *holders) appendBest(l holderList, id pimentospread.FlowID, domain int) holderList {
	best, high := -1, uint64(0)
	for i := range h.hosts {
		if h.hosts[i].domain != domain || l.contains(i) {
			continue
		}
		if s := mix(uint64(id), h.hosts[i].hash); best < 0 || s > high {
			best, high = i, s
		}
	}
	if best >= 0 {
		l.index[l.n] = best
		l.n++
	}
	return l
}

func (l *holderList) contains(host int) bool {
	for _, i := range l.index[:l.n] {
		if i == host {
			return true
		}
	}
	return false
}

// mix is a keyed hash of a flow identifier, which is itself a hash.
func mix(id, key uint64) uint64 {
	high, low := bits.Mul64(id^key, key|1)
	high, low = bits.Mul64(high^low^0x9e3779b97f4a7c15, 0xe7037ed1a0b428db)
	return high ^ low
}

func (h *holders) same(o *holders) bool {
	if len(h.hosts) != len(o.hosts) {
		return false
	}
	for i := range h.hosts {
		if !o.has(h.hosts[i].id) {
			return false
		}
	}
	return true
}
