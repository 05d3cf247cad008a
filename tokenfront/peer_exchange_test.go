package tokenfront

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/ring"
)

// discardNetwork accepts messages and delivers none.
type discardNetwork struct{}

func (discardNetwork) SetPeers(context.Context, map[pimentospread.HostID]netip.AddrPort) error {
	return nil
}

func (discardNetwork) Send(context.Context, pimentospread.Outbound) error { return nil }

// countingNetwork counts the messages to each peer and delivers none.
type countingNetwork struct {
	discardNetwork
	sent map[pimentospread.HostID]int
}

func (n countingNetwork) Send(_ context.Context, m pimentospread.Outbound) error {
	n.sent[m.To]++
	return nil
}

// Guards against hosts that send 20 messages a second to each seed and source that
// does not answer, and against whole lists from other hosts while the platform
// sends its own. Both happened when all hosts of a system started together.
func TestUnansweredSubscriptionsAreSpaced(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	network := countingNetwork{sent: map[pimentospread.HostID]int{}}
	self := dissemination.Peer{Host: "h-2", FailureDomain: "near", Address: loopback(2)}
	e := &peerExchange{
		self: self, log: slog.New(slog.DiscardHandler), network: network, started: start,
		seeds:           map[pimentospread.HostID]netip.AddrPort{"seed 1": loopback(1)},
		reregistrations: ring.New[struct{}](1, ring.DropOldest), removals: ring.New[pimentospread.HostID](8, ring.Refuse),
		selector:    dissemination.NewSelector(start, dissemination.SelectorConfig{Self: self.Host, FailureDomain: "near", SilenceTimeout: time.Hour, AnswerTimeout: time.Hour}),
		distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: time.Second}), lastSeen: map[pimentospread.HostID]time.Time{},
	}
	e.handleHosts(t.Context(), start, dissemination.PeersUpdate{Full: true, Revision: 1, Present: []dissemination.Peer{
		{Host: "h-1", FailureDomain: "near", Address: loopback(1)}, {Host: "h-3", FailureDomain: "near", Address: loopback(3)}, self,
	}})
	// The platform responds to a first call, but the list of targets takes a while.
	e.platformAnsweredAt = start
	for d := time.Duration(0); d < time.Second; d += startupTickInterval {
		e.tick(t.Context(), start.Add(d))
	}
	if len(network.sent) > 0 {
		t.Errorf("messages sent while the platform responds: %v, want none", network.sent)
	}
	// The list never arrives, although the platform still responds to other calls.
	for d := platformListTimeout; d <= platformListTimeout+5*time.Second; d += startupTickInterval {
		e.platformAnsweredAt = start.Add(d)
		e.tick(t.Context(), start.Add(d))
	}
	// 0.05, 0.15, 0.35 and 0.75 s after the first one, and then every second.
	const maxMessages = 12
	for id, count := range network.sent {
		if count > maxMessages {
			t.Errorf("%d messages to %s in 5 s, want at most %d", count, id, maxMessages)
		}
	}
	if network.sent["seed 1"] < 4 {
		t.Errorf("%d messages to the seed in 5 s, want at least 4", network.sent["seed 1"])
	}
}

// Guards against a host that counts its state as up to date although it could not apply the
// changes that its source sent, because it lacks earlier ones.
func TestChangesThatLeaveAGapConfirmNothing(t *testing.T) {
	f := newFleet(t, 2, 1, 3)
	f.startAll()
	f.run(2 * time.Second)
	source := dissemination.NewTree(f.peers, fanOut).Ranked()[0]
	follower := f.hosts[f.peers[0].Host]
	if follower.self.Host == source {
		follower = f.hosts[f.peers[1].Host]
	}
	f.run(100 * time.Millisecond)
	confirmed := follower.controller.exchange.selector.Confirmed()
	position := follower.controller.sharedState().Position()
	position.Targets += 10
	follower.handle(peerMessage{pimentospread.Inbound{From: source, Message: &dissemination.StateUpdate{
		Position: position, Updates: []discovery.Update{{From: position.Targets - 1, Revision: position.Targets}},
	}}})
	if got := follower.controller.exchange.selector.Confirmed(); !got.Equal(confirmed) {
		t.Errorf("the state counts as confirmed %s after it was, although the host lacks 9 changes of its source", got.Sub(confirmed))
	}
}

// Guards against a host that counts its state as up to date while it ignores what it reads
// from the platform. Its followers took that state for fresh, and none of them looked for
// another source.
func TestIgnoredUpdatesConfirmNothing(t *testing.T) {
	f := newFleet(t, 1, 1, 3)
	f.startAll()
	f.run(2 * time.Second)
	h := f.hosts[f.peers[0].Host]
	confirmed := h.controller.exchange.selector.Confirmed()
	f.revision -= 2
	f.run(time.Second)
	if got := h.controller.exchange.selector.Confirmed(); !got.Equal(confirmed) {
		t.Errorf("the state counts as confirmed %s after it was, although the updates since are ignored", got.Sub(confirmed))
	}
	f.revision += 2
	f.run(time.Second)
	if got := f.now.Sub(h.controller.exchange.selector.Confirmed()); got > pollInterval {
		t.Errorf("the state was last confirmed %s ago, want at most %s after updates are applied again", got, pollInterval)
	}
}

// Guards against a host that ignores what hosts of an earlier release send, because they
// send no eras, and against one that takes their state for the newer one after the store
// was restored, which those hosts do not notice.
func TestStateOfAnEarlierRelease(t *testing.T) {
	for _, restored := range []bool{false, true} {
		f := newFleet(t, 2, 1, 3)
		f.revision = pimentospread.NewObjectVersion(1, 50)
		f.startAll()
		f.run(2 * time.Second)
		if restored {
			f.restore(f.copyState())
			f.run(time.Second)
		}
		source := dissemination.NewTree(f.peers, fanOut).Ranked()[0]
		follower := f.hosts[f.peers[0].Host]
		if follower.self.Host == source {
			follower = f.hosts[f.peers[1].Host]
		}
		position := follower.controller.sharedState().Position()
		before := position.Targets
		position.Targets, position.Peers = pimentospread.NewObjectVersion(0, before.Revision()+7), 0
		follower.handle(peerMessage{pimentospread.Inbound{From: source, Message: &dissemination.StateUpdate{
			Position: position, Updates: []discovery.Update{{Full: true, Revision: position.Targets}},
		}}})
		want := pimentospread.NewObjectVersion(1, before.Revision()+7)
		if restored {
			want = before
		}
		if got := follower.controller.directory.Revision(); got != want {
			t.Errorf("restored %t: version (%d, %d), want (%d, %d)", restored, got.Era(), got.Revision(), want.Era(), want.Revision())
		}
	}
}

// Guards against platform entries of lost hosts that stay, whichever host is lost, and
// against the removal of entries of hosts that are alive.
func TestEntriesOfLostHostsAreRemoved(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	peers := []dissemination.Peer{
		{Host: "h-1", FailureDomain: "near", Address: loopback(1)},
		{Host: "h-2", FailureDomain: "near", Address: loopback(2)},
		{Host: "h-3", FailureDomain: "near", Address: loopback(3)},
		{Host: "h-4", FailureDomain: "near", Address: loopback(4)},
		{Host: "h-5", FailureDomain: "far", Address: loopback(5)},
		{Host: "h-6", FailureDomain: "far", Address: loopback(6)},
	}
	for _, lost := range peers {
		var removed []pimentospread.HostID
		for _, self := range peers {
			if self == lost {
				continue
			}
			e := &peerExchange{
				self: self, log: slog.New(slog.DiscardHandler), network: discardNetwork{}, started: start,
				reregistrations: ring.New[struct{}](1, ring.DropOldest), removals: ring.New[pimentospread.HostID](8, ring.Refuse),
				selector:    dissemination.NewSelector(start, dissemination.SelectorConfig{Self: self.Host, FailureDomain: self.FailureDomain, FanOut: 2}),
				distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: time.Second}),
				lastSeen:    map[pimentospread.HostID]time.Time{},
			}
			e.handleHosts(t.Context(), start, dissemination.PeersUpdate{Full: true, Revision: 1, Present: peers})
			for d := time.Duration(0); d <= lostHostTimeout; d += 10 * time.Second {
				for _, p := range peers {
					if p != lost {
						e.lastSeen[p.Host] = start.Add(d)
					}
				}
				e.removeLostHosts(t.Context(), start.Add(d))
			}
			for range e.removals.Len() {
				removed = append(removed, <-e.removals.Items())
			}
		}
		if diff := cmp.Diff([]pimentospread.HostID{lost.Host}, removed); diff != "" {
			t.Errorf("%s is lost; entries removed by all others (-want +got):\n%s", lost.Host, diff)
		}
	}
}
