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

// hosts returns n hosts in each of the failure domains.
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
		Self: self.Host, FailureDomain: self.FailureDomain, FanOut: testFanOut, SettleTime: time.Second,
		RelayMaxAge: 1400 * time.Millisecond, FollowerMaxAge: 1800 * time.Millisecond,
		SilenceTimeout: 1200 * time.Millisecond, AnswerTimeout: 600 * time.Millisecond, RetrySpread: 200 * time.Millisecond, MinAvoidance: 10 * time.Second, MaxAvoidance: 2 * time.Minute,
	})
	s.SetPeers(peers)
	return s
}

// Guards against platform calls that grow with the number of hosts, and against
// hosts that get changes from each other in a cycle.
func TestOneHostReadsThePlatform(t *testing.T) {
	for _, n := range []int{1, 3, 30} {
		peers := hosts(n, "a", "b", "c")
		source := map[pimentospread.HostID]pimentospread.HostID{}
		readers, relays := 0, map[pimentospread.FailureDomain]int{}
		for _, p := range peers {
			s := newSelector(p, peers)
			now := start.Add(time.Second)
			s.PlatformAnswered(now)
			sources, _ := s.Decide(now, 0)
			if sources.Peer == "" {
				readers++
				continue
			}
			s.ReceivedStateUpdate(now, sources.Peer, 0, nil)
			sources, _ = s.Decide(now, 0)
			if sources.Platform {
				t.Errorf("%s still reads the platform after a fresh message", p.Host)
			}
			source[p.Host] = sources.Peer
			if s.IsRelay() {
				relays[p.FailureDomain]++
			}
		}
		if readers != 1 {
			t.Errorf("%d hosts of %d read the platform, want 1", readers, len(peers))
		}
		for id := range source {
			steps := 0
			for current := id; current != ""; current = source[current] {
				// 30 hosts of a failure domain need three levels below the reader.
				if steps++; steps > 4 {
					t.Fatalf("%s gets changes over more than 3 hosts", id)
				}
			}
		}
	}
}

// Guards against a host that keeps a source which sends no messages, that replaces one
// which works, or that does not return to its preferred source.
func TestSourceIsReplacedAndChosenAgain(t *testing.T) {
	peers := hosts(3, "a")
	// The ranks are computed from the IDs. The host of the lowest rank has two sources.
	var ranked []dissemination.Peer
	for _, p := range peers {
		s := newSelector(p, peers)
		if s.IsRelay() {
			ranked = append([]dissemination.Peer{p}, ranked...)
		} else {
			ranked = append(ranked, p)
		}
	}
	first := ranked[0].Host
	self := ranked[1]
	s := newSelector(self, peers)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	decide := func(d time.Duration) dissemination.Sources {
		c, _ := s.Decide(at(d), 0)
		return c
	}
	check := func(step string, want, got dissemination.Sources) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: sources (-want +got): %s", step, diff)
		}
	}
	s.PlatformAnswered(at(500 * time.Millisecond))
	check("before the other hosts are known", dissemination.Sources{Platform: true}, decide(500*time.Millisecond))
	s.PlatformAnswered(at(time.Second))
	check("before the first message", dissemination.Sources{Platform: true, Peer: first}, decide(time.Second))
	s.ReceivedStateUpdate(at(1100*time.Millisecond), first, 100*time.Millisecond, nil)
	check("fresh message", dissemination.Sources{Peer: first}, decide(1100*time.Millisecond))
	s.ReceivedStateUpdate(at(2*time.Second), first, 0, nil)
	check("working source", dissemination.Sources{Peer: first}, decide(3100*time.Millisecond))
	if got := decide(3200 * time.Millisecond); got.Peer == first || !got.Platform {
		t.Errorf("after the silence timeout: %+v, want the platform and not %s", got, first)
	}
	for d := 4 * time.Second; d < 13*time.Second; d += time.Second {
		s.PlatformAnswered(at(d))
		if c := decide(d); c.Peer == first {
			t.Errorf("the lost source is chosen again after %s", d)
		}
	}
	s.PlatformAnswered(at(14 * time.Second))
	if c := decide(14 * time.Second); c.Peer != first {
		t.Errorf("%+v after 10 s, want the preferred source again", c)
	}
}

// Guards against a host that replaces a working source by its preferred source while
// that is still lost, and whose state then gets stale.
func TestLostPreferredSourceIsProbed(t *testing.T) {
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
		s.ReceivedStateUpdate(now, second, 0, nil)
		if c, _ := s.Decide(now, 0); c.Peer != second {
			t.Fatalf("after %s: %+v, want %s while %s sends no messages", d, c, second, first)
		}
		if probe := s.Probe(now); (probe == first) != (d > 11*time.Second) {
			t.Fatalf("after %s: Probe returned %q", d, probe)
		}
	}
	now := start.Add(30 * time.Second)
	s.ReceivedStateUpdate(now, first, 0, nil)
	if c, _ := s.Decide(now, 0); c.Peer != first {
		t.Errorf("%+v, want %s, which sends messages again", c, first)
	}
}

// follower returns the selector of the host with the lowest rank of three, and its
// source. Its state was up to date one second after the start.
func follower(t *testing.T) (*dissemination.Selector, pimentospread.HostID) {
	t.Helper()
	peers := hosts(3, "a")
	for _, p := range peers {
		s := newSelector(p, peers)
		if s.IsRelay() {
			continue
		}
		s.PlatformAnswered(start.Add(time.Second))
		c, _ := s.Decide(start.Add(time.Second), 0)
		s.ReceivedStateUpdate(start.Add(time.Second), c.Peer, 0, nil)
		if c, _ = s.Decide(start.Add(time.Second), 0); c.Platform {
			t.Fatalf("%+v after a fresh message, want Platform false", c)
		}
		return s, c.Peer
	}
	t.Fatal("no host of the three is a follower")
	return nil, ""
}

// Guards against every host calling the platform continuously during an outage.
func TestFollowersRetryThePlatformAtIntervals(t *testing.T) {
	s, source := follower(t)
	attempts := 0
	for d := 1100 * time.Millisecond; d < 11*time.Second; d += 50 * time.Millisecond {
		now := start.Add(d)
		// The source sends messages, but its state gets older too.
		s.ReceivedStateUpdate(now, source, d-time.Second, nil)
		c, _ := s.Decide(now, 1)
		if c.Peer != source {
			t.Fatalf("the working source was replaced by %+v", c)
		}
		if c.Platform {
			attempts++
			s.PlatformFailed(now, 1)
		}
	}
	// Three hosts spread their attempts over 0.6 s, and with the highest jitter a host
	// waits 0.9 s after each: 9 or 10 attempts in the 8.2 s in which its state is stale.
	if attempts < 8 || attempts > 10 {
		t.Errorf("%d attempts in 10 s, want 8 to 10", attempts)
	}
	now := start.Add(12 * time.Second)
	s.ReceivedStateUpdate(now, source, 0, nil)
	if c, _ := s.Decide(now, 0); c.Platform {
		t.Error("the platform is still read after a fresh message")
	}
}

// Guards against a failure domain that gets no changes although one of its hosts can
// read the platform.
func TestFollowerThatReadsThePlatformBecomesTheSource(t *testing.T) {
	peers := hosts(3, "a")
	var relay dissemination.Peer
	for _, p := range peers {
		if newSelector(p, peers).IsRelay() {
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
		t.Errorf("%+v while the state is fresh, want no peer", c)
	}
	now := start.Add(3 * time.Second)
	s.ReceivedSubscription(now, other, 100*time.Millisecond)
	c, _ := s.Decide(now, 0)
	if diff := cmp.Diff(dissemination.Sources{Platform: true, Peer: other}, c); diff != "" {
		t.Error(diff)
	}
	s.ReceivedStateUpdate(now, other, 100*time.Millisecond, nil)
	now = now.Add(time.Second)
	s.ReceivedStateUpdate(now, other, 100*time.Millisecond, nil)
	if c, _ := s.Decide(now, 0); c.Peer != other {
		t.Errorf("%+v, want the host that reads the platform", c)
	}
	s.PlatformAnswered(now)
	if c, _ := s.Decide(now, 0); c.Peer != "" {
		t.Errorf("%+v after the platform answered, want no peer", c)
	}
}

// Guards against two hosts that confirm each other's state without the platform.
func TestOwnStateIsNotConfirmedByPeers(t *testing.T) {
	peers := hosts(2, "a")
	self, other := peers[0], peers[1]
	if newSelector(self, peers).IsRelay() {
		self, other = other, self
	}
	s := newSelector(self, peers)
	s.PlatformAnswered(start.Add(time.Second))
	s.Decide(start.Add(time.Second), 0)
	s.ReceivedStateUpdate(start.Add(2*time.Second), other.Host, 0, []pimentospread.HostID{self.Host})
	if got := s.Confirmed(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("the state counts as confirmed at %s by a message that came from the host itself, want 1s", got.Sub(start))
	}
}

// Guards against a host that waits for a source which announced that it stops.
func TestStoppingSourceIsReplacedAtOnce(t *testing.T) {
	peers := hosts(3, "a")
	self := peers[0]
	s := newSelector(self, peers)
	if s.IsRelay() {
		self = peers[1]
		s = newSelector(self, peers)
	}
	s.PlatformAnswered(start.Add(time.Second))
	c, _ := s.Decide(start.Add(time.Second), 0)
	s.PeerLeft(start.Add(1100*time.Millisecond), c.Peer)
	next, changed := s.Decide(start.Add(1100*time.Millisecond), 0)
	if !changed || next.Peer == c.Peer || !next.Platform {
		t.Errorf("%+v after %s announced that it stops, want the platform and another peer or none", next, c.Peer)
	}
}

// Guards against a host without platform that stops looking for a host that reads it.
func TestAllHostsAreTriedDuringPlatformOutage(t *testing.T) {
	peers := hosts(2, "a", "b")
	for _, self := range peers {
		s := newSelector(self, peers)
		s.PlatformAnswered(start.Add(time.Second))
		tried := map[pimentospread.HostID]bool{}
		for d := time.Second; d < 12*time.Second; d += 200 * time.Millisecond {
			s.PlatformFailed(start.Add(d), 0)
			c, _ := s.Decide(start.Add(d), 0)
			tried[c.Peer] = true
		}
		delete(tried, "")
		if len(tried) != len(peers)-1 {
			t.Errorf("%s tried %v within 12 s, want all other hosts", self.Host, tried)
		}
	}
}
