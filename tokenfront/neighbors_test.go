package tokenfront

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
	"pimentospread/ring"
)

// silentNetwork takes messages and delivers none.
type silentNetwork struct{}

func (silentNetwork) SetPeers(context.Context, map[pimentospread.HostID]netip.AddrPort) error {
	return nil
}

func (silentNetwork) Send(context.Context, pimentospread.Outbound) error { return nil }

// countingNetwork counts the messages to each peer and delivers none.
type countingNetwork struct {
	silentNetwork
	sent map[pimentospread.HostID]int
}

func (n countingNetwork) Send(_ context.Context, m pimentospread.Outbound) error {
	n.sent[m.To]++
	return nil
}

// Guards against hosts that ask seeds and sources which do not answer 20 times a
// second each, and against whole lists from other hosts while the platform sends
// its own: all hosts of a system did so at a common start.
func TestUnansweredQuestionsAreSpaced(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	network := countingNetwork{sent: map[pimentospread.HostID]int{}}
	self := dissemination.Peer{Host: "h-2", FailureDomain: "near", Address: loopback(2)}
	n := &neighbors{
		self: self, log: slog.New(slog.DiscardHandler), network: network, started: start,
		seeds:   map[pimentospread.HostID]netip.AddrPort{"seed 1": loopback(1)},
		missing: ring.New[struct{}](1, ring.DropOldest), remove: ring.New[pimentospread.HostID](8, ring.Refuse),
		selector: dissemination.NewSelector(start, dissemination.SelectorConfig{Self: self.Host, Domain: "near", SilenceTimeout: time.Hour}),
		relay:    dissemination.NewRelay(dissemination.RelayConfig{Lease: time.Second}), heard: map[pimentospread.HostID]time.Time{},
	}
	n.hearHosts(t.Context(), start, dissemination.PeersUpdate{Full: true, Revision: 1, Present: []dissemination.Peer{
		{Host: "h-1", FailureDomain: "near", Address: loopback(1)}, {Host: "h-3", FailureDomain: "near", Address: loopback(3)}, self,
	}})
	// The platform answers a first call, and the list of targets takes a while.
	n.platformHeard = start
	for d := time.Duration(0); d < time.Second; d += startInterval {
		n.tick(t.Context(), start.Add(d))
	}
	if len(network.sent) > 0 {
		t.Errorf("messages while the platform answers: %v", network.sent)
	}
	// The list never comes, though the platform goes on answering other calls.
	for d := listPatience; d <= listPatience+5*time.Second; d += startInterval {
		n.platformHeard = start.Add(d)
		n.tick(t.Context(), start.Add(d))
	}
	// 0.05, 0.15, 0.35 and 0.75 s after the first one, and then each second.
	const most = 12
	for id, count := range network.sent {
		if count > most {
			t.Errorf("%d messages to %s in 5 s, want %d at most", count, id, most)
		}
	}
	if network.sent["seed 1"] < 4 {
		t.Errorf("%d messages to the seed in 5 s, want some", network.sent["seed 1"])
	}
}

// Guards against entries in the platform of hosts that are gone, and against
// the removal of those of hosts that live.
func TestEntriesOfLostHostsAreRemoved(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	peers := []dissemination.Peer{
		{Host: "h-1", FailureDomain: "near", Address: loopback(1)},
		{Host: "h-2", FailureDomain: "near", Address: loopback(2)},
		{Host: "h-3", FailureDomain: "near", Address: loopback(3)},
		{Host: "h-4", FailureDomain: "far", Address: loopback(4)},
	}
	removals := 0
	for _, self := range peers[:3] {
		n := &neighbors{
			self: self, log: slog.New(slog.DiscardHandler), network: silentNetwork{}, started: start,
			missing: ring.New[struct{}](1, ring.DropOldest), remove: ring.New[pimentospread.HostID](8, ring.Refuse),
			selector: dissemination.NewSelector(start, dissemination.SelectorConfig{Self: self.Host, Domain: "near"}),
			relay:    dissemination.NewRelay(dissemination.RelayConfig{Lease: time.Second}),
			heard:    map[pimentospread.HostID]time.Time{},
		}
		n.hearHosts(t.Context(), start, dissemination.PeersUpdate{Full: true, Revision: 1, Present: peers})
		alive := peers[0].Host
		if self.Host == alive {
			alive = peers[1].Host
		}
		for d := time.Duration(0); d <= forgetAfter; d += 10 * time.Second {
			n.heard[alive] = start.Add(d)
			n.forget(t.Context(), start.Add(d))
		}
		removed := n.remove.Len()
		removals += removed
		for range removed {
			if host := <-n.remove.Items(); host == alive || host == self.Host || host == "h-4" {
				t.Errorf("%s removes the entry of %s", self.Host, host)
			}
		}
	}
	if removals != 1 {
		t.Errorf("%d entries removed, want the one of the lost host by one host", removals)
	}
}
