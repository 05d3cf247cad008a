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

// slot is one of the requests that a target runs at the same time.
type slot struct {
	target pimentospread.TargetID
	number pimentospread.Slots
}

const (
	// shareTime is how long a host owns a slot that does not divide evenly, or
	// does without one, whichever is shorter. Each change of owner loses the
	// pause before it; a host without such a slot gathers a queue, which stays
	// within the usual longest wait of 5 s.
	shareTime = 10 * time.Second
	// slotlessTime bounds how long a host owns no slot at all when there are
	// fewer slots than hosts. Urgent requests wait for as long.
	slotlessTime = 2 * time.Second
)

// split is the assignment of the slots of a pool to hosts. Each host owns the
// same number of slots. Those that do not divide evenly move on a ring of all
// hosts, so that each host owns as many as the others over time. Hosts derive
// the turn from their clocks; a difference between clocks makes two owners
// overlap for as long, and the target sheds what is too much.
type split struct {
	base map[pimentospread.HostID][]slot
	rest []slot
	ring []pimentospread.HostID
}

// newSplit assigns every slot of the targets to one live host.
func newSplit(targets []pool.Target, live []pimentospread.HostID) *split {
	s := &split{ring: slices.Clone(live)}
	if len(targets) == 0 || len(live) == 0 {
		return s
	}
	slices.SortFunc(s.ring, func(a, b pimentospread.HostID) int {
		return cmp.Or(cmp.Compare(score(slot{}, a), score(slot{}, b)), cmp.Compare(a, b))
	})
	base, rest := divide(targets, len(live))
	s.rest = rest
	each := len(base) / len(live)
	m := matching{
		hosts: live,
		taken: make(map[slot]bool, len(base)),
		owned: make(map[pimentospread.HostID][]slot, len(live)),
		at:    map[hostTarget]int{},
	}
	m.assign(base, each, 1)
	m.assign(base, each, each)
	s.base = m.owned
	return s
}

// owned returns the slots of the host in the turn. The slots that do not
// divide evenly stay at equal distances on the ring. In each turn as few of
// them as possible move, by one host each.
func (s *split) owned(host pimentospread.HostID, turn int64) []slot {
	owned := slices.Clone(s.base[host])
	hosts, moving := int64(len(s.ring)), int64(len(s.rest))
	for i, t := range s.rest {
		if s.ring[(int64(i)*hosts+turn)/moving%hosts] == host {
			owned = append(owned, t)
		}
	}
	return owned
}

// slotless says that the live host owns no slot in some turns.
func (s *split) slotless(host pimentospread.HostID) bool {
	return len(s.rest) > 0 && len(s.base) == 0 && slices.Contains(s.ring, host)
}

// turnLength is how long the split stays the same. A slot stays at a host for
// as many turns as there are moving slots.
func (s *split) turnLength() time.Duration {
	moving, without := len(s.rest), len(s.ring)-len(s.rest)
	switch {
	case moving == 0:
		return shareTime
	case len(s.base) == 0:
		return slotlessTime / time.Duration(without)
	default:
		return shareTime / time.Duration(min(moving, without))
	}
}

// matching pairs slots with hosts in the order of their rendezvous score, so
// that a host that joins or dies changes the assignment only along the chains
// that start at its own slots.
type matching struct {
	hosts []pimentospread.HostID
	taken map[slot]bool
	owned map[pimentospread.HostID][]slot
	// at counts the slots of a host at one target.
	at map[hostTarget]int
}

type hostTarget struct {
	host   pimentospread.HostID
	target pimentospread.TargetID
}

// divide separates the slots into as many as all hosts have in equal number,
// and the rest. The rest takes as many slots from each target as from the
// others, because the hosts that own them have more slots and use each less.
func divide(targets []pool.Target, hosts int) (base, rest []slot) {
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
				base = append(base, slot{t.ID, n})
			} else {
				rest = append(rest, slot{t.ID, n})
			}
		}
	}
	return base, rest
}

// assign gives free slots to hosts, the pair with the highest score first, up
// to the given numbers for each host and for each host at one target.
func (m *matching) assign(slots []slot, each, perTarget int) {
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
		at := hostTarget{p.host, p.slot.target}
		if m.taken[p.slot] || len(m.owned[p.host]) >= each || m.at[at] >= perTarget {
			continue
		}
		m.taken[p.slot] = true
		m.at[at]++
		m.owned[p.host] = append(m.owned[p.host], p.slot)
	}
}

// rank returns the targets in rendezvous order for the host.
func rank(targets []pool.Target, host pimentospread.HostID) []pimentospread.TargetID {
	ids := make([]pimentospread.TargetID, 0, len(targets))
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	slices.SortFunc(ids, func(a, b pimentospread.TargetID) int {
		return cmp.Or(cmp.Compare(score(slot{b, 0}, host), score(slot{a, 0}, host)), cmp.Compare(a, b))
	})
	return ids
}

// score is the rendezvous score of a host for a slot. It is the same on every host.
func score(s slot, host pimentospread.HostID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], uint32(s.target))
	binary.BigEndian.PutUint32(b[4:], uint32(s.number))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
