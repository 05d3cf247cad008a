package dataplane

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
)

const (
	// recordHolders is the number of hosts that keep a record.
	recordHolders = 2
	// queriedHolders is the number of hosts that are asked for a record: two in
	// each of the two failure domains with a holder. A joining host can displace
	// the holder in one domain while the holder in the other fails. A third holder
	// that was chosen by rank alone missed the record in that case.
	queriedHolders = 4
)

// holderRanking ranks the live hosts as holders of a flow without allocating:
// it selects the two failure domains that rank first, and the two hosts that
// rank first in each of them.
type holderRanking struct {
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

// holderList contains indexes into holderRanking.hosts, best first.
type holderList struct {
	index [queriedHolders]int
	n     int
}

func newHolderRanking(self pimentospread.HostID, live []member.Candidate) holderRanking {
	h := holderRanking{self: self}
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

// tagOf returns a short hash of a host's ID, which is never zero.
func tagOf(id pimentospread.HostID) flow.HostTag {
	return flow.HostTag(1 + xxhash.Sum64String(string(id))%255)
}

func (h *holderRanking) contains(id pimentospread.HostID) bool {
	for i := range h.hosts {
		if h.hosts[i].id == id {
			return true
		}
	}
	return false
}

// rank returns up to n holders of a flow, best first.
func (h *holderRanking) rank(id pimentospread.FlowID, n int) holderList {
	var list holderList
	first := h.bestDomain(id, -1)
	second := h.bestDomain(id, first)
	for list.n < n {
		before := list.n
		list = h.appendBest(list, id, first)
		if second >= 0 && list.n < n {
			list = h.appendBest(list, id, second)
		}
		if list.n == before {
			return list
		}
	}
	return list
}

func (h *holderRanking) bestDomain(id pimentospread.FlowID, except int) int {
	best, high := -1, uint64(0)
	for i := range h.domains {
		if s := mix(uint64(id), h.domains[i].hash); i != except && (best < 0 || s > high) {
			best, high = i, s
		}
	}
	return best
}

// appendBest appends the best host of a domain that is not in the list yet, if there is one.
func (h *holderRanking) appendBest(list holderList, id pimentospread.FlowID, domain int) holderList {
	best, high := -1, uint64(0)
	for i := range h.hosts {
		if h.hosts[i].domain != domain || list.contains(i) {
			continue
		}
		if s := mix(uint64(id), h.hosts[i].hash); best < 0 || s > high {
			best, high = i, s
		}
	}
	if best >= 0 {
		list.index[list.n] = best
		list.n++
	}
	return list
}

func (l *holderList) contains(host int) bool {
	for _, i := range l.index[:l.n] {
		if i == host {
			return true
		}
	}
	return false
}

// mix returns a keyed hash of a flow ID, which is itself a hash.
func mix(id, key uint64) uint64 {
	high, low := bits.Mul64(id^key, key|1)
	high, low = bits.Mul64(high^low^0x9e3779b97f4a7c15, 0xe7037ed1a0b428db)
	return high ^ low
}

func (h *holderRanking) sameHosts(o *holderRanking) bool {
	if len(h.hosts) != len(o.hosts) {
		return false
	}
	for i := range h.hosts {
		if !o.contains(h.hosts[i].id) {
			return false
		}
	}
	return true
}
