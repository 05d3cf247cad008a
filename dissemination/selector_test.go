package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/dissemination"
)

var start = time.Unix(1_700_000_000, 0)

// hosts returns n hosts in each of the domains.
func hosts(n int, domains ...pimentospread.FailureDomain) []dissemination.Peer {
	var list []dissemination.Peer
	for _, d := range domains {
		for i := range n {
			list = append(list, dissemination.Peer{
				Host: pimentospread.HostID(fmt.Sprintf("%s-%d", d, i+1)), FailureDomain: d,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+len(list))),
			})
		}
	}
	return list
}

func newSelector(self dissemination.Peer, peers []dissemination.Peer) *dissemination.Selector {
	s := dissemination.NewSelector(start, dissemination.SelectorConfig{
		Self: self.Host, Domain: self.FailureDomain, SettleTime: time.Second,
		RelayMaxAge: 1400 * time.Millisecond, MaxAge: 1800 * time.Millisecond,
		SilenceTimeout: 1200 * time.Millisecond, RetrySpread: 200 * time.Millisecond, MinAvoidance: 10 * time.Second, MaxAvoidance: 2 * time.Minute,
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
			choice, _ := s.Decide(now, 0)
			if choice.Peer == "" {
				readers++
				continue
			}
			s.ReceivedNews(now, choice.Peer, 0, nil)
			choice, _ = s.Decide(now, 0)
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
	var ranked []dissemination.Peer
	for _, p := range peers {
		s := newSelector(p, peers)
		if s.Relay() {
			ranked = append([]dissemination.Peer{p}, ranked...)
		} else {
			ranked = append(ranked, p)
		}
	}
	first := ranked[0].Host
	self := ranked[1]
	s := newSelector(self, peers)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	decide := func(d time.Duration) dissemination.Choice {
		c, _ := s.Decide(at(d), 0)
		return c
	}
	check := func(step string, want, got dissemination.Choice) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", step, diff)
		}
	}
	s.PlatformAnswered(at(500 * time.Millisecond))
	check("before others are known", dissemination.Choice{Platform: true}, decide(500*time.Millisecond))
	s.PlatformAnswered(at(time.Second))
	check("until news are fresh", dissemination.Choice{Platform: true, Peer: first}, decide(time.Second))
	s.ReceivedNews(at(1100*time.Millisecond), first, 100*time.Millisecond, nil)
	check("fresh news", dissemination.Choice{Peer: first}, decide(1100*time.Millisecond))
	s.ReceivedNews(at(2*time.Second), first, 0, nil)
	check("sound source", dissemination.Choice{Peer: first}, decide(3100*time.Millisecond))
	if got := decide(3200 * time.Millisecond); got.Peer == first || !got.Platform {
		t.Errorf("silent source: %+v, want the platform and not %s", got, first)
	}
	for d := 4 * time.Second; d < 13*time.Second; d += time.Second {
		s.PlatformAnswered(at(d))
		if c := decide(d); c.Peer == first {
			t.Errorf("the source that fell silent is asked again after %s", d)
		}
	}
	s.PlatformAnswered(at(14 * time.Second))
	if c := decide(14 * time.Second); c.Peer != first {
		t.Errorf("%+v after 10 s, want the first choice again", c)
	}
}

// Guards against a host that leaves a sound source for its first choice, which
// is still lost, and goes stale on it.
func TestLostFirstChoiceIsProbed(t *testing.T) {
	peers := hosts(4, "a")
	var s *dissemination.Selector
	var first, second pimentospread.HostID
	for _, p := range peers {
		s = newSelector(p, peers)
		s.PlatformAnswered(start.Add(time.Second))
		c, _ := s.Decide(start.Add(time.Second), 0)
		first = c.Peer
		s.PeerLeft(start.Add(time.Second), first)
		c, _ = s.Decide(start.Add(time.Second), 0)
		if second = c.Peer; second != "" {
			break
		}
	}
	for d := time.Second; d < 30*time.Second; d += 250 * time.Millisecond {
		now := start.Add(d)
		s.ReceivedNews(now, second, 0, nil)
		if c, _ := s.Decide(now, 0); c.Peer != second {
			t.Fatalf("after %s: %+v, want %s as long as %s is silent", d, c, second, first)
		}
		if probe := s.Probe(now); (probe == first) != (d > 11*time.Second) {
			t.Fatalf("after %s: probe of %q", d, probe)
		}
	}
	now := start.Add(30 * time.Second)
	s.ReceivedNews(now, first, 0, nil)
	if c, _ := s.Decide(now, 0); c.Peer != first {
		t.Errorf("%+v, want %s, which is back", c, first)
	}
}

// follower returns the last host by rank of three, with a belief of one second after the start from its source.
func follower(t *testing.T) (*dissemination.Selector, pimentospread.HostID) {
	t.Helper()
	peers := hosts(3, "a")
	for _, p := range peers {
		s := newSelector(p, peers)
		if s.Relay() {
			continue
		}
		s.PlatformAnswered(start.Add(time.Second))
		c, _ := s.Decide(start.Add(time.Second), 0)
		s.ReceivedNews(start.Add(time.Second), c.Peer, 0, nil)
		if c, _ = s.Decide(start.Add(time.Second), 0); c.Platform {
			t.Fatalf("%+v after fresh news", c)
		}
		return s, c.Peer
	}
	t.Fatal("no follower")
	return nil, ""
}

// Guards against a platform outage that makes every host call the platform all the time.
func TestFollowersTryThePlatformNowAndThen(t *testing.T) {
	s, source := follower(t)
	tries := 0
	for d := 1100 * time.Millisecond; d < 11*time.Second; d += 50 * time.Millisecond {
		now := start.Add(d)
		// The source is sound and hears nothing either.
		s.ReceivedNews(now, source, d-time.Second, nil)
		c, _ := s.Decide(now, 1)
		if c.Peer != source {
			t.Fatalf("a sound source was left for %+v", c)
		}
		if c.Platform {
			tries++
			s.PlatformFailed(now, 1)
		}
	}
	// Three hosts spread their tries over 0.6 s, and with the highest jitter a
	// host waits 0.9 s after each: 9 or 10 tries in the 8.2 s of staleness.
	if tries < 8 || tries > 10 {
		t.Errorf("%d tries in 10 s, want 8 to 10", tries)
	}
	now := start.Add(12 * time.Second)
	s.ReceivedNews(now, source, 0, nil)
	if c, _ := s.Decide(now, 0); c.Platform {
		t.Error("the platform is still read after fresh news")
	}
}

// Guards against a failure domain that stays without news although one of its
// hosts can read the platform.
func TestFollowerThatHearsThePlatformIsHeard(t *testing.T) {
	peers := hosts(3, "a")
	var relay dissemination.Peer
	for _, p := range peers {
		if newSelector(p, peers).Relay() {
			relay = p
		}
	}
	s := newSelector(relay, peers)
	s.PlatformAnswered(start.Add(time.Second))
	s.Decide(start.Add(time.Second), 0)
	other := peers[0].Host
	if other == relay.Host {
		other = peers[1].Host
	}
	s.ReceivedSubscription(start.Add(2*time.Second), other, 0)
	if c, _ := s.Decide(start.Add(2*time.Second), 0); c.Peer != "" {
		t.Errorf("%+v while the belief is fresh, want no peer", c)
	}
	now := start.Add(3 * time.Second)
	s.ReceivedSubscription(now, other, 100*time.Millisecond)
	c, _ := s.Decide(now, 0)
	if diff := cmp.Diff(dissemination.Choice{Platform: true, Peer: other}, c); diff != "" {
		t.Error(diff)
	}
	s.ReceivedNews(now, other, 100*time.Millisecond, nil)
	now = now.Add(time.Second)
	s.ReceivedNews(now, other, 100*time.Millisecond, nil)
	if c, _ := s.Decide(now, 0); c.Peer != other {
		t.Errorf("%+v, want to stay with the host that hears the platform", c)
	}
	s.PlatformAnswered(now)
	if c, _ := s.Decide(now, 0); c.Peer != "" {
		t.Errorf("%+v after the platform answered, want no peer", c)
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
	s.Decide(start.Add(time.Second), 0)
	s.ReceivedNews(start.Add(2*time.Second), other.Host, 0, []pimentospread.HostID{self.Host})
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
	c, _ := s.Decide(start.Add(time.Second), 0)
	s.PeerLeft(start.Add(1100*time.Millisecond), c.Peer)
	next, changed := s.Decide(start.Add(1100*time.Millisecond), 0)
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
			s.PlatformFailed(start.Add(d), 0)
			c, _ := s.Decide(start.Add(d), 0)
			asked[c.Peer] = true
		}
		delete(asked, "")
		if len(asked) != len(peers)-1 {
			t.Errorf("%s asked %v within 12 s, want all other hosts", self.Host, asked)
		}
	}
}
