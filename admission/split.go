package admission

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/pool"
)

// slot is one of the requests that a target runs at the same time.
type slot struct {
	target pimentospread.TargetID
	number pimentospread.Slots
}

// splitter assigns the slots of a pool to hosts. It matches slots and hosts in
// the order of their rendezvous score, so that a host that joins or dies
// changes the assignment only along the chains that start at its own slots.
type splitter struct {
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

// split assigns every slot of the targets to one live host. The numbers of
// slots of two hosts differ by at most one. Slots that do not divide evenly
// pass from host to host with each turn, so that all hosts own the same number
// over time. When there are fewer slots than hosts, each host without a slot
// shares one at the target that ranks first for it.
func split(targets []pool.Target, live []pimentospread.HostID, turn int64) map[pimentospread.HostID][]slot {
	s := splitter{
		hosts: live,
		taken: map[slot]bool{},
		owned: make(map[pimentospread.HostID][]slot, len(live)),
		at:    map[hostTarget]int{},
	}
	if len(targets) == 0 || len(live) == 0 {
		return s.owned
	}
	base, rest := divide(targets, len(live))
	each := len(base) / len(live)
	s.assign(base, each, 1)
	s.assign(base, each, each)
	s.rotate(rest, turn)
	for _, h := range live {
		if len(s.owned[h]) == 0 {
			s.owned[h] = []slot{{target: rank(targets, h)[0]}}
		}
	}
	return s.owned
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
func (s *splitter) assign(slots []slot, each, perTarget int) {
	type pair struct {
		slot  slot
		host  pimentospread.HostID
		score uint64
	}
	var pairs []pair
	for _, t := range slots {
		if s.taken[t] {
			continue
		}
		for _, h := range s.hosts {
			pairs = append(pairs, pair{t, h, score(t, h)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host),
			cmp.Compare(a.slot.target, b.slot.target), cmp.Compare(a.slot.number, b.slot.number))
	})
	for _, p := range pairs {
		at := hostTarget{p.host, p.slot.target}
		if s.taken[p.slot] || len(s.owned[p.host]) >= each || s.at[at] >= perTarget {
			continue
		}
		s.taken[p.slot] = true
		s.at[at]++
		s.owned[p.host] = append(s.owned[p.host], p.slot)
	}
}

// rotate gives the slots to hosts at equal distances on a ring of all hosts,
// one step further with each turn.
func (s *splitter) rotate(slots []slot, turn int64) {
	ring := slices.Clone(s.hosts)
	slices.SortFunc(ring, func(a, b pimentospread.HostID) int {
		return cmp.Or(cmp.Compare(score(slot{}, a), score(slot{}, b)), cmp.Compare(a, b))
	})
	for i, t := range slots {
		h := ring[(i*len(ring)/len(slots)+int(turn%int64(len(ring))))%len(ring)]
		s.owned[h] = append(s.owned[h], t)
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
