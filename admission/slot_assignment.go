package admission

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/pool"
)

// slot is one of the places for requests that a target runs concurrently.
type slot struct {
	target pimentospread.TargetID
	number pimentospread.Slots
}

const (
	// rotationTime is the time for which a host owns a rotating slot or the time
	// for which it has none, whichever is shorter. A shorter time wastes more
	// slots in the pause before each handover. A host without a rotating slot
	// builds up a queue, which stays within the usual longest wait of 5 s.
	rotationTime = 10 * time.Second
	// maxSlotlessTime bounds how long a host owns no slot at all when there are
	// fewer slots than hosts. Urgent requests wait for that time.
	maxSlotlessTime = 2 * time.Second
)

// slotAssignment assigns the slots of a pool to hosts. Each host owns the same
// number of fixed slots. The remaining slots rotate around a ring of all hosts, so
// that all hosts own the same number over time. Hosts derive the turn from their
// clocks. When clocks differ, a slot has two owners for the time of the
// difference, and the target sheds the excess.
type slotAssignment struct {
	fixed    map[pimentospread.HostID][]slot
	rotating []slot
	ring     []pimentospread.HostID
}

// newSlotAssignment assigns every slot of the targets to one live host.
func newSlotAssignment(targets []pool.Target, live []pimentospread.HostID) *slotAssignment {
	s := &slotAssignment{ring: slices.Clone(live)}
	if len(targets) == 0 || len(live) == 0 {
		return s
	}
	slices.SortFunc(s.ring, func(a, b pimentospread.HostID) int {
		return cmp.Or(cmp.Compare(score(slot{}, a), score(slot{}, b)), cmp.Compare(a, b))
	})
	fixed, rotating := partitionSlots(targets, len(live))
	s.rotating = rotating
	perHost := len(fixed) / len(live)
	m := matching{
		hosts:     live,
		taken:     make(map[slot]bool, len(fixed)),
		owned:     make(map[pimentospread.HostID][]slot, len(live)),
		perTarget: map[hostTarget]int{},
	}
	m.assign(fixed, perHost, 1)
	m.assign(fixed, perHost, perHost)
	s.fixed = m.owned
	return s
}

// owned returns the slots of the host in the turn. The rotating slots stay evenly
// spaced on the ring. In each turn as few of them as possible move, by one host
// each.
func (s *slotAssignment) owned(host pimentospread.HostID, turn int64) []slot {
	owned := slices.Clone(s.fixed[host])
	hosts, moving := int64(len(s.ring)), int64(len(s.rotating))
	for i, t := range s.rotating {
		if s.ring[(int64(i)*hosts+turn)/moving%hosts] == host {
			owned = append(owned, t)
		}
	}
	return owned
}

// sometimesSlotless reports whether the host is live and owns no slot in some turns.
func (s *slotAssignment) sometimesSlotless(host pimentospread.HostID) bool {
	return len(s.rotating) > 0 && len(s.fixed) == 0 && slices.Contains(s.ring, host)
}

// turnLength returns the time for which the assignment stays the same. A rotating
// slot stays at a host for as many turns as there are rotating slots.
func (s *slotAssignment) turnLength() time.Duration {
	moving, without := len(s.rotating), len(s.ring)-len(s.rotating)
	switch {
	case moving == 0:
		return rotationTime
	case len(s.fixed) == 0:
		return maxSlotlessTime / time.Duration(without)
	default:
		return rotationTime / time.Duration(min(moving, without))
	}
}

// matching pairs slots with hosts in the order of their rendezvous score, so
// that a host that joins or dies changes the assignment only along the chains
// that start at its own slots.
type matching struct {
	hosts []pimentospread.HostID
	taken map[slot]bool
	owned map[pimentospread.HostID][]slot
	// perTarget counts the slots of a host at one target.
	perTarget map[hostTarget]int
}

type hostTarget struct {
	host   pimentospread.HostID
	target pimentospread.TargetID
}

// partitionSlots separates the slots into fixed ones, which divide evenly among
// the hosts, and rotating ones. The rotating slots are spread evenly over the
// targets, because the hosts that own them have more slots and use each less.
func partitionSlots(targets []pool.Target, hosts int) (fixed, rotating []slot) {
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b pool.Target) int {
		return cmp.Or(cmp.Compare(score(slot{a.ID, 0}, ""), score(slot{b.ID, 0}, "")), cmp.Compare(a.ID, b.ID))
	})
	total := 0
	for _, t := range order {
		total += int(t.Slots)
	}
	over := total % hosts
	taken := make([]pimentospread.Slots, len(order))
	for i := 0; over > 0; i = (i + 1) % len(order) {
		if taken[i] < order[i].Slots {
			taken[i]++
			over--
		}
	}
	for i, t := range order {
		for n := range t.Slots {
			if n < t.Slots-taken[i] {
				fixed = append(fixed, slot{t.ID, n})
			} else {
				rotating = append(rotating, slot{t.ID, n})
			}
		}
	}
	return fixed, rotating
}

// assign gives free slots to hosts in descending order of the scores of the pairs.
// Each host gets at most perHost slots in total and perTarget at one target.
func (m *matching) assign(slots []slot, perHost, perTarget int) {
	type pair struct {
		slot  slot
		host  pimentospread.HostID
		score uint64
	}
	var pairs []pair
	for _, t := range slots {
		if m.taken[t] {
			continue
		}
		for _, h := range m.hosts {
			pairs = append(pairs, pair{t, h, score(t, h)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host),
			cmp.Compare(a.slot.target, b.slot.target), cmp.Compare(a.slot.number, b.slot.number))
	})
	for _, p := range pairs {
		key := hostTarget{p.host, p.slot.target}
		if m.taken[p.slot] || len(m.owned[p.host]) >= perHost || m.perTarget[key] >= perTarget {
			continue
		}
		m.taken[p.slot] = true
		m.perTarget[key]++
		m.owned[p.host] = append(m.owned[p.host], p.slot)
	}
}

// rendezvousOrder returns the targets in descending order of the host's rendezvous scores.
func rendezvousOrder(targets []pool.Target, host pimentospread.HostID) []pimentospread.TargetID {
	ids := make([]pimentospread.TargetID, 0, len(targets))
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	slices.SortFunc(ids, func(a, b pimentospread.TargetID) int {
		return cmp.Or(cmp.Compare(score(slot{b, 0}, host), score(slot{a, 0}, host)), cmp.Compare(a, b))
	})
	return ids
}

// score returns the rendezvous score of a host for a slot. All hosts compute the same score.
func score(s slot, host pimentospread.HostID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], uint32(s.target))
	binary.BigEndian.PutUint32(b[4:], uint32(s.number))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
