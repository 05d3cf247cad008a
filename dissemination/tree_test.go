package dissemination_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/dissemination"
)

const testFanOut = 8

// fleet returns n hosts in the given number of failure domains. Every fast-th host has a
// link of 200 Mbit/s, the others one of 20.
func fleet(n, domains, fast int) []dissemination.Peer {
	peers := make([]dissemination.Peer, 0, n)
	for i := range n {
		p := dissemination.Peer{
			Host: pimentospread.HostID(fmt.Sprintf("host-%d", i)), FailureDomain: pimentospread.FailureDomain(fmt.Sprintf("d-%d", i%domains)), LinkSpeed: 20,
		}
		if i/domains%fast == 0 {
			p.LinkSpeed = 200
		}
		peers = append(peers, p)
	}
	return peers
}

// Guards against hosts whose followers grow with the fleet, against paths that do, and
// against slow links in the middle of the tree while fast ones are at its ends.
func TestTreeIsBounded(t *testing.T) {
	tests := map[string]struct {
		hosts, domains, fast int
		// depth is the number of levels below the host that reads the platform.
		depth int
	}{
		"7 hosts in 3 failure domains":                 {7, 3, 1, 2},
		"30 hosts in 5 failure domains":                {30, 5, 13, 2},
		"300 hosts in 5 failure domains":               {300, 5, 13, 3},
		"3,000 hosts in 27 failure domains":            {3000, 27, 13, 4},
		"13,000 hosts, the size of two years from now": {13000, 27, 13, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			peers := fleet(tc.hosts, tc.domains, tc.fast)
			tree := dissemination.NewTree(peers, testFanOut)
			followers, parent := map[pimentospread.HostID]int{}, map[pimentospread.HostID]pimentospread.HostID{}
			speed := map[pimentospread.HostID]pimentospread.Megabits{}
			for _, p := range peers {
				speed[p.Host] = p.LinkSpeed
				if sources := tree.Sources(p.Host, p.FailureDomain); len(sources) > 0 {
					parent[p.Host] = sources[0]
					followers[sources[0]]++
				}
			}
			if readers := tc.hosts - len(parent); readers != 1 {
				t.Errorf("%d hosts follow nobody, want 1", readers)
			}
			for id, n := range followers {
				limit := testFanOut
				if parent[id] == "" {
					limit += tc.domains - 1
				}
				if n > limit {
					t.Errorf("%s has %d followers, want at most %d", id, n, limit)
				}
				if speed[id] == 20 && n > 0 && slow(peers, followers, speed) {
					t.Fatalf("%s with a link of 20 Mbit/s has %d followers, while one with 200 Mbit/s has none", id, n)
				}
			}
			deepest := 0
			for _, p := range peers {
				depth := 0
				for id := p.Host; parent[id] != ""; id = parent[id] {
					depth++
				}
				deepest = max(deepest, depth)
			}
			if deepest > tc.depth {
				t.Errorf("a host gets changes over %d hosts, want at most %d", deepest, tc.depth)
			}
		})
	}
}

// slow reports whether a failure domain has a fast host without followers and a slow one
// with followers.
func slow(peers []dissemination.Peer, followers map[pimentospread.HostID]int, speed map[pimentospread.HostID]pimentospread.Megabits) bool {
	idle, busy := map[pimentospread.FailureDomain]bool{}, map[pimentospread.FailureDomain]bool{}
	for _, p := range peers {
		switch {
		case speed[p.Host] == 200 && followers[p.Host] == 0:
			idle[p.FailureDomain] = true
		case speed[p.Host] == 20 && followers[p.Host] > 0:
			busy[p.FailureDomain] = true
		}
	}
	for domain := range busy {
		if idle[domain] {
			return true
		}
	}
	return false
}

// Guards against hosts that follow each other in a cycle, which would confirm a state that
// nobody reads, against followers that all turn to the same host when their source is lost,
// and against hosts that nobody watches.
func TestTreeOfAnyHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := fleet(rapid.IntRange(1, 400).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "domains"), rapid.IntRange(1, 20).Draw(t, "fast"))
		tree := dissemination.NewTree(peers, rapid.IntRange(1, 9).Draw(t, "fan-out"))
		ranked := tree.Ranked()
		watchers, seconds := map[pimentospread.HostID]int{}, map[pimentospread.HostID]int{}
		for _, p := range peers {
			sources := tree.Sources(p.Host, p.FailureDomain)
			if len(sources) == 0 && ranked[0] != p.Host {
				t.Fatalf("%s has no source", p.Host)
			}
			for _, source := range sources {
				if slices.Index(ranked, source) >= slices.Index(ranked, p.Host) {
					t.Fatalf("%s has the source %s, which ranks lower", p.Host, source)
				}
			}
			if len(sources) > 1 {
				seconds[sources[1]]++
			}
			for _, id := range tree.Watched(p.Host) {
				watchers[id]++
			}
		}
		for _, p := range peers {
			if len(peers) > 1 && watchers[p.Host] != 1 {
				t.Fatalf("%d hosts watch %s, want 1", watchers[p.Host], p.Host)
			}
		}
	})
}

// Guards against followers of a lost host that all turn to one other host.
func TestFollowersOfALostHostAreSpread(t *testing.T) {
	peers := fleet(300, 1, 13)
	tree := dissemination.NewTree(peers, testFanOut)
	for _, lost := range peers {
		if tree.Ranked()[0] == lost.Host {
			// Its followers have no other hosts above them than each other.
			continue
		}
		extra := map[pimentospread.HostID]int{}
		followers := tree.Followers(lost.Host)
		for _, id := range followers {
			extra[tree.Sources(id, lost.FailureDomain)[1]]++
		}
		for id, n := range extra {
			if n > 2 {
				t.Errorf("%d of %d followers of %s turn to %s, want at most 2", n, len(followers), lost.Host, id)
			}
		}
	}
}

// Guards against hosts that join together and all follow the same host until they are in
// the list.
func TestJoiningHostsAreSpread(t *testing.T) {
	tree := dissemination.NewTree(fleet(60, 1, 13), testFanOut)
	chosen := map[pimentospread.HostID]int{}
	for i := range 300 {
		chosen[tree.Sources(pimentospread.HostID(fmt.Sprintf("new-%d", i)), "d-0")[0]]++
	}
	for id, n := range chosen {
		if n > 20 {
			t.Errorf("%d of 300 joining hosts follow %s, want at most 20 with 60 hosts to follow", n, id)
		}
	}
}

func ExampleTree_Sources() {
	tree := dissemination.NewTree(fleet(300, 5, 13), testFanOut)
	for _, p := range fleet(300, 5, 13)[295:] {
		fmt.Println(p.Host, tree.Sources(p.Host, p.FailureDomain))
	}
	fmt.Println(tree.Ranked()[0], tree.Sources(tree.Ranked()[0], "d-4"), len(tree.Followers(tree.Ranked()[0])))
	// Output:
	// host-295 [host-260 host-25 host-0]
	// host-296 [host-61 host-1 host-261]
	// host-297 [host-197 host-262 host-2]
	// host-298 [host-68 host-293 host-133]
	// host-299 [host-264 host-4 host-199]
	// host-199 [] 12
}

// Guards against a digest that differs from that of hosts of earlier releases, which then
// get the whole list of hosts each time, and against a changed speed that goes unnoticed.
func TestDigestOfLinkSpeed(t *testing.T) {
	digest := func(speed pimentospread.Megabits) pimentospread.Digest {
		var p dissemination.Peers
		peers := hosts(1, "a")
		peers[0].LinkSpeed = speed
		p.Apply(dissemination.PeersUpdate{Full: true, Revision: 1, Present: peers})
		return p.Digest()
	}
	// The digest of hosts("a")[0] before LinkSpeed was added.
	const earlier = 721359409481815979
	if diff := cmp.Diff([]bool{true, true}, []bool{digest(0) == earlier, digest(20) != digest(200)}); diff != "" {
		t.Errorf("equal to the earlier digest, and different for different speeds (-want +got):\n%s\ndigest %d", diff, digest(0))
	}
}
