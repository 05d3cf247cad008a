package dissemination

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/member"
)

// Tree arranges the hosts of a system for passing on changes, so that no host has more
// than a fixed number of followers, whatever the number of hosts. Each failure domain has
// a tree of its own, whose root is the relay of the domain. The relay with the highest
// rank reads the platform, and the other relays follow it. Hosts with faster links rank
// higher, so that they have the followers; hosts of one speed are ordered by a hash.
//
// Hosts with the same list of peers derive the same tree. A host follows only hosts that
// rank higher, so that hosts never follow each other in a cycle.
type Tree struct {
	fanOut int
	// order holds the hosts of each failure domain by rank, and index their positions.
	order  map[pimentospread.FailureDomain][]pimentospread.HostID
	index  map[pimentospread.HostID]int
	domain map[pimentospread.HostID]pimentospread.FailureDomain
	// relays holds the first host of each failure domain by rank.
	relays []pimentospread.HostID
	// ranked holds all hosts by rank.
	ranked []pimentospread.HostID
}

// NewTree returns the tree of the peers in which each host has up to fanOut followers of
// its own failure domain.
func NewTree(peers []Peer, fanOut int) *Tree {
	t := &Tree{
		fanOut: max(fanOut, 1),
		order:  map[pimentospread.FailureDomain][]pimentospread.HostID{},
		index:  make(map[pimentospread.HostID]int, len(peers)),
		domain: make(map[pimentospread.HostID]pimentospread.FailureDomain, len(peers)),
	}
	candidates := make([]member.Candidate, 0, len(peers))
	speed := make(map[pimentospread.HostID]int, len(peers))
	for _, p := range peers {
		candidates = append(candidates, member.Candidate{ID: p.Host, FailureDomain: p.FailureDomain})
		speed[p.Host] = speedClass(p.LinkSpeed)
		t.domain[p.Host] = p.FailureDomain
	}
	t.ranked = member.Rank(0, candidates, len(candidates))
	slices.SortStableFunc(t.ranked, func(a, b pimentospread.HostID) int { return cmp.Compare(speed[b], speed[a]) })
	for _, id := range t.ranked {
		domain := t.domain[id]
		if len(t.order[domain]) == 0 {
			t.relays = append(t.relays, id)
		}
		t.index[id] = len(t.order[domain])
		t.order[domain] = append(t.order[domain], id)
	}
	return t
}

// speedClass groups link speeds by powers of two, so that small differences do not
// change the order.
func speedClass(m pimentospread.Megabits) int { return bits.Len32(uint32(m)) }

// Sources returns the hosts from which a host gets changes, the preferred one first. It
// is empty for the host that reads the platform. A host that is not in the tree yet
// follows a host of its failure domain that its name gives, so that hosts that join
// together are spread.
func (t *Tree) Sources(host pimentospread.HostID, domain pimentospread.FailureDomain) []pimentospread.HostID {
	own := t.order[domain]
	i, known := t.index[host]
	switch {
	case !known && len(own) == 0:
		return slices.Clone(t.relays[:min(len(t.relays), 2)])
	case !known:
		return unique(own[xxhash.Sum64String(string(host))%uint64(len(own))], own[0])
	case i == 0:
		rank := slices.Index(t.relays, host)
		return slices.Clone(t.relays[:min(rank, 2)])
	}
	return unique(own[t.parent(i)], own[t.alternate(i)], own[0])
}

// parent returns the position of the host that the host at a position follows.
func (t *Tree) parent(i int) int { return (i - 1) / t.fanOut }

// alternate returns the position of the host that the host at position i follows if its
// parent is lost: another host of the parent's level, a different one for each follower of
// that parent. A follower of the relay, which is alone on its level, takes the first of
// its own level.
func (t *Tree) alternate(i int) int {
	parent := t.parent(i)
	if parent == 0 {
		return min(1, i-1)
	}
	first, size := 1, t.fanOut
	for first+size <= parent {
		first, size = first+size, size*t.fanOut
	}
	if size == 1 {
		return t.parent(parent)
	}
	// The follower's place among those of its parent gives how many hosts of the level to
	// skip, at least one and less than a full turn.
	skip := 1 + (i-1)%t.fanOut%(size-1)
	return first + (parent-first+skip)%size
}

// unique returns the hosts without repetitions.
func unique(hosts ...pimentospread.HostID) []pimentospread.HostID {
	var result []pimentospread.HostID
	for _, h := range hosts {
		if !slices.Contains(result, h) {
			result = append(result, h)
		}
	}
	return result
}

// Followers returns the hosts whose preferred source is the given host.
func (t *Tree) Followers(host pimentospread.HostID) []pimentospread.HostID {
	i, known := t.index[host]
	if !known {
		return nil
	}
	own := t.order[t.domain[host]]
	var followers []pimentospread.HostID
	if i == 0 && t.relays[0] == host {
		followers = append(followers, t.relays[1:]...)
	}
	first := min(i*t.fanOut+1, len(own))
	return append(followers, own[first:min(first+t.fanOut, len(own))]...)
}

// Watched returns the hosts whose loss the given host detects: its followers, which
// subscribe to it, and for the first follower of the first host also that host, which
// follows nobody.
func (t *Tree) Watched(host pimentospread.HostID) []pimentospread.HostID {
	watched := t.Followers(host)
	if len(t.ranked) < 2 {
		return watched
	}
	if first := t.relays[0]; t.Followers(first)[0] == host {
		watched = append(watched, first)
	}
	return watched
}

// IsRelay reports whether the host is the relay of its failure domain.
func (t *Tree) IsRelay(host pimentospread.HostID) bool {
	i, known := t.index[host]
	return known && i == 0
}

// Group returns the number of hosts that may retry the platform at the same time as the
// given host: the relays, or the hosts of its failure domain.
func (t *Tree) Group(host pimentospread.HostID, domain pimentospread.FailureDomain) int {
	if t.IsRelay(host) && t.relays[0] != host {
		return len(t.relays)
	}
	return len(t.order[domain])
}

// Ranked returns all hosts by rank. The slice must not be modified.
func (t *Tree) Ranked() []pimentospread.HostID { return t.ranked }
