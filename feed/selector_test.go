package feed_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/feed"
)

var start = time.Unix(1_700_000_000, 0)

// hosts returns n hosts in each of the domains.
func hosts(n int, domains ...pimentospread.FailureDomain) []feed.Peer {
	var list []feed.Peer
	for _, d := range domains {
		for i := range n {
			list = append(list, feed.Peer{
				Host: pimentospread.HostID(fmt.Sprintf("%s-%d", d, i+1)), FailureDomain: d,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+len(list))),
			})
		}
	}
	return list
}

func newSelector(self feed.Peer, peers []feed.Peer) *feed.Selector {
	s := feed.NewSelector(start, feed.SelectorConfig{
		Self: self.Host, Domain: self.FailureDomain, Settle: time.Second,
		RelayPatience: 1400 * time.Millisecond, Patience: 1800 * time.Millisecond, Avoid: 10 * time.Second,
	})
	s.SetPeers(peers)
	return s
}

// Guards against platform calls that grow with the hosts of a failure domain,
// and against hosts that hear from one another in a circle.
func TestOneHostReadsThePlatform(t *testing.T) {
	for _, n := range []int{1, 3, 30} {
		peers := hosts(n, "a", "b", "c")
		source := map[pimentospread.HostID]pimentospread.HostID{}
		readers, relays := 0, map[pimentospread.FailureDomain]int{}
		for _, p := range peers {
			s := newSelector(p, peers)
			now := start.Add(time.Second)
			s.PlatformAnswered(now)
			choice, _ := s.Decide(now)
			if choice.Peer == "" {
				readers++
				continue
			}
			s.Heard(now, choice.Peer, 0, nil)
			choice, _ = s.Decide(now)
			if choice.Platform {
				t.Errorf("%s still reads the platform after fresh news", p.Host)
			}
			source[p.Host] = choice.Peer
			if s.Relay() {
				relays[p.FailureDomain]++
			}
		}
		if readers != 1 {
			t.Errorf("%d hosts of %d read the platform, want 1", readers, len(peers))
		}
		for id := range source {
			steps := 0
			for at := id; at != ""; at = source[at] {
				if steps++; steps > 3 {
					t.Fatalf("%s hears over more than 3 hosts", id)
				}
			}
		}
	}
}

// Guards against a host that stays with a source that went stale, that leaves a
// sound one, or that does not come back to its first choice.
func TestSourceChanges(t *testing.T) {
	peers := hosts(3, "a")
	// The ranks follow from the names; the last by rank has two sources.
	var ranked []feed.Peer
	for _, p := range peers {
		s := newSelector(p, peers)
		if s.Relay() {
			ranked = append([]feed.Peer{p}, ranked...)
		} else {
			ranked = append(ranked, p)
		}
	}
	first := ranked[0].Host
	self := ranked[1]
	s := newSelector(self, peers)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	decide := func(d time.Duration) feed.Choice {
		c, _ := s.Decide(at(d))
		return c
	}
	check := func(step string, want, got feed.Choice) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", step, diff)
		}
	}
	s.PlatformAnswered(at(500 * time.Millisecond))
	check("before others are known", feed.Choice{Platform: true}, decide(500*time.Millisecond))
	s.PlatformAnswered(at(time.Second))
	check("until news are fresh", feed.Choice{Platform: true, Peer: first}, decide(time.Second))
	s.Heard(at(1100*time.Millisecond), first, 100*time.Millisecond, nil)
	check("fresh news", feed.Choice{Peer: first}, decide(1100*time.Millisecond))
	s.Heard(at(2*time.Second), first, 0, nil)
	check("sound source", feed.Choice{Peer: first}, decide(3700*time.Millisecond))
	got := decide(3800 * time.Millisecond)
	if !got.Platform || got.Peer == first {
		t.Errorf("stale source: %+v, want the platform and not %s", got, first)
	}
	s.PlatformAnswered(at(3900 * time.Millisecond))
	for d := 4 * time.Second; d < 13*time.Second; d += time.Second {
		s.PlatformAnswered(at(d))
		if c := decide(d); c.Peer == first {
			t.Errorf("the source that went stale is asked again after %s", d)
		}
	}
	s.PlatformAnswered(at(14 * time.Second))
	if c := decide(14 * time.Second); c.Peer != first {
		t.Errorf("%+v after 10 s, want the first choice again", c)
	}
}

// Guards against two hosts that take each other's echo for news of the platform.
func TestOwnNewsProveNothing(t *testing.T) {
	peers := hosts(2, "a")
	self, other := peers[0], peers[1]
	if newSelector(self, peers).Relay() {
		self, other = other, self
	}
	s := newSelector(self, peers)
	s.PlatformAnswered(start.Add(time.Second))
	s.Decide(start.Add(time.Second))
	s.Heard(start.Add(2*time.Second), other.Host, 0, []pimentospread.HostID{self.Host})
	if got := s.Confirmed(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("belief counts as complete up to %s by the host's own news", got.Sub(start))
	}
}

// Guards against a host that waits for a source which has said that it stops.
func TestLeavingSourceIsLeftAtOnce(t *testing.T) {
	peers := hosts(3, "a")
	self := peers[0]
	s := newSelector(self, peers)
	if s.Relay() {
		self = peers[1]
		s = newSelector(self, peers)
	}
	s.PlatformAnswered(start.Add(time.Second))
	c, _ := s.Decide(start.Add(time.Second))
	s.Left(start.Add(1100*time.Millisecond), c.Peer)
	next, changed := s.Decide(start.Add(1100 * time.Millisecond))
	if !changed || next.Peer == c.Peer || !next.Platform {
		t.Errorf("source %+v after %s left", next, c.Peer)
	}
}

// Guards against a cut-off host that no longer looks for anybody who hears the platform.
func TestOthersAreAskedWhenThePlatformIsAway(t *testing.T) {
	peers := hosts(2, "a", "b")
	for _, self := range peers {
		s := newSelector(self, peers)
		s.PlatformAnswered(start.Add(time.Second))
		asked := map[pimentospread.HostID]bool{}
		for d := time.Second; d < 12*time.Second; d += 200 * time.Millisecond {
			c, _ := s.Decide(start.Add(d))
			asked[c.Peer] = true
		}
		delete(asked, "")
		if len(asked) != len(peers)-1 {
			t.Errorf("%s asked %v within 12 s, want all other hosts", self.Host, asked)
		}
	}
}
