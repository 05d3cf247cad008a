package tokenfront

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/dissemination"
	"pimentospread/ring"
)

// Guards against hosts that decide by the routes and targets of the time when their shutdown
// began. The fabric sends them packets for seconds more, and they reset flows of routes that
// were added meanwhile.
func TestFleetHostsThatStopFollowChanges(t *testing.T) {
	const bound = 3 * time.Second // the shortest bound of the users for drains and configurations
	for _, size := range fleetSizes[:2] {
		ranked := dissemination.NewTree(newFleet(t, size.hosts, size.domains, 1).peers, fanOut).Ranked()
		stopped := map[string][]pimentospread.HostID{
			"the reader of the platform": ranked[:1],
			"the last host":              ranked[size.hosts-1:],
			"a host and its source":      {ranked[0], ranked[1], ranked[size.hosts-1]},
			"all hosts":                  ranked,
		}
		for name, hosts := range stopped {
			t.Run(fmt.Sprintf("%d hosts, %s", size.hosts, name), func(t *testing.T) {
				f := newFleet(t, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				for _, id := range hosts {
					f.hosts[id].handle(shutdownStarted{})
				}
				for range 4 {
					f.run(300 * time.Millisecond)
					f.change()
					if took := f.settle(10 * time.Second); took > bound {
						t.Fatalf("a change takes %s while hosts stop, want at most %s", took, bound)
					}
				}
			})
		}
	}
}

// Guards against a host that stops and follows no change because its source stops after it
// or has just started again, as in a rolling restart.
func TestFleetHostsStopOneAfterAnother(t *testing.T) {
	const bound = 3 * time.Second
	f := newFleet(t, 7, 3, 20)
	f.startAll()
	f.run(5 * time.Second)
	for i, p := range f.peers {
		f.hosts[p.Host].handle(shutdownStarted{})
		f.run(400 * time.Millisecond)
		f.change()
		if took := f.settle(10 * time.Second); took > bound {
			t.Fatalf("a change takes %s with %d hosts stopping, want at most %s", took, i+1, bound)
		}
		if i >= 2 {
			f.hosts[f.peers[i-2].Host].handle(steeringEnded{})
			f.hosts[f.peers[i-2].Host].alive = false
			f.start(i - 2)
		}
	}
}

// Guards against a host that starts and takes its updates from a host that stops, which sends
// none.
func TestFleetHostThatStartsAvoidsHostsThatStop(t *testing.T) {
	f := newFleet(t, 7, 3, 20)
	f.startAll()
	f.run(5 * time.Second)
	tree := dissemination.NewTree(f.peers, fanOut)
	started := f.peers[0]
	for _, p := range f.peers {
		if len(tree.Sources(p.Host, p.FailureDomain)) > 1 {
			started = p
		}
	}
	source := tree.Sources(started.Host, started.FailureDomain)[0]
	f.hosts[started.Host].alive = false
	f.hosts[source].handle(shutdownStarted{})
	f.run(50 * time.Millisecond)
	f.start(slices.Index(f.peers, started))
	f.run(settleTime + 600*time.Millisecond)
	if got := f.hosts[started.Host].controller.exchange.selector.Sources().Peer; got == source {
		t.Errorf("the source is %s, which stops", got)
	}
}

// recordingNetwork records the messages that hosts send and delivers none.
type recordingNetwork struct {
	discardNetwork
	sent []pimentospread.Outbound
}

func (n *recordingNetwork) Send(_ context.Context, m pimentospread.Outbound) error {
	n.sent = append(n.sent, m)
	return nil
}

// Guards against a host that ends its subscription while it still steers, and against a
// source that goes on sending to a host that is gone.
func TestSubscriptionEndsWhenSteeringEnds(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	self := dissemination.Peer{Host: "h-1", FailureDomain: "near", Address: loopback(1)}
	network := &recordingNetwork{}
	e := &peerExchange{
		self: self, log: slog.New(slog.DiscardHandler), network: network, started: start,
		reregistrations: ring.New[struct{}](1, ring.DropOldest), removals: ring.New[pimentospread.HostID](8, ring.Refuse),
		selector:    dissemination.NewSelector(start, selectorConfig(self)),
		distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: time.Second}), lastSeen: map[pimentospread.HostID]time.Time{},
	}
	ranked := dissemination.NewTree([]dissemination.Peer{self, {Host: "h-2", FailureDomain: "near", Address: loopback(2)}}, fanOut).Ranked()
	if ranked[0] == self.Host {
		t.Fatalf("hosts are ranked %v, want %s last", ranked, self.Host)
	}
	e.handleHosts(t.Context(), start, dissemination.PeersUpdate{Full: true, Revision: 1, Present: []dissemination.Peer{
		{Host: "h-2", FailureDomain: "near", Address: loopback(2)}, self,
	}})
	now := start.Add(settleTime)
	e.tick(t.Context(), now)
	e.announceLeave(t.Context())
	e.tick(t.Context(), now.Add(subscribeInterval))
	e.leaveSource(t.Context())
	e.tick(t.Context(), now.Add(2*subscribeInterval))
	var ends []bool
	for _, m := range network.sent {
		if s, ok := m.Message.(*dissemination.Subscribe); ok {
			ends = append(ends, s.Leaves)
		}
	}
	if diff := cmp.Diff([]bool{false, false, true}, ends); diff != "" {
		t.Errorf("subscriptions that end (-want +got):\n%s", diff)
	}
}
