package controlplane_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/ring"
)

type noMetrics struct{}

func (noMetrics) Counter(string) pimentospread.Counter { return noMetrics{} }
func (noMetrics) Gauge(string, func() float64)         {}
func (noMetrics) Add(int)                              {}

type healthyProber struct{}

func (healthyProber) Probe(context.Context, netip.AddrPort) (pimentospread.LoadReport, error) {
	return pimentospread.LoadReport{Healthy: true}, nil
}

// memoryPlatform has a fixed roster and returns releases from a channel.
type memoryPlatform struct {
	roster   pimentospread.Object
	first    pimentospread.Object
	releases chan pimentospread.Object
}

func (p *memoryPlatform) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	if key.Kind == pimentospread.KindRoster {
		return p.roster, nil
	}
	return p.first, nil
}

func (p *memoryPlatform) Put(context.Context, pimentospread.ObjectKey, json.RawMessage, pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	return 0, pimentospread.ErrRefused.NewWithNoMessage()
}

func (p *memoryPlatform) Watch(ctx context.Context, key pimentospread.ObjectKey, _ pimentospread.ObjectVersion) (pimentospread.Object, error) {
	var releases chan pimentospread.Object
	if key.Kind == pimentospread.KindRelease {
		releases = p.releases
	}
	select {
	case o := <-releases:
		return o, nil
	case <-ctx.Done():
		return pimentospread.Object{}, pimentospread.ErrUnavailable.Wrap(ctx.Err(), "watch ended")
	}
}

// memoryNetwork puts messages directly into the inboxes.
type memoryNetwork struct {
	self    pimentospread.HostID
	inboxes map[pimentospread.HostID]*ring.Ring[pimentospread.Inbound]
}

func (n memoryNetwork) SetPeers(context.Context, map[pimentospread.HostID]netip.AddrPort) error {
	return nil
}

func (n memoryNetwork) Send(ctx context.Context, m pimentospread.Outbound) error {
	return n.inboxes[m.To].Put(ctx, pimentospread.Inbound{From: n.self, Incarnation: 1, Message: m.Message})
}

func object(t *testing.T, kind pimentospread.ObjectKind, v pimentospread.ObjectVersion, value any) pimentospread.Object {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return pimentospread.Object{ObjectKey: pimentospread.ObjectKey{Kind: kind, Name: "cell-1"}, Version: v, Value: data}
}

// TestControllersBringReleaseIntoForce guards against wrongly connected
// duties: a release that one host reads must become active on both.
func TestControllersBringReleaseIntoForce(t *testing.T) {
	s := newSim(1, 2, 1, t.Fatalf)
	var roster member.Roster
	inboxes := map[pimentospread.HostID]*ring.Ring[pimentospread.Inbound]{}
	for _, h := range s.hosts {
		roster.Hosts = append(roster.Hosts, h.self)
		inboxes[h.self.ID] = ring.New[pimentospread.Inbound](64, ring.DropOldest)
	}
	p := &memoryPlatform{
		roster:   object(t, pimentospread.KindRoster, 1, roster),
		first:    object(t, pimentospread.KindRelease, 1, newRelease(1, 4)),
		releases: make(chan pimentospread.Object, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	inForce := make(chan pimentospread.Generation)
	for _, h := range s.hosts {
		views := ring.New[*dataplane.View](1, ring.DropOldest)
		c := controlplane.NewController(controlplane.Deps{
			Config: controlplane.Config{Self: h.self, Incarnation: 1}, Cell: "cell-1", Clock: pimentospread.SystemClock{},
			Platform: p, Network: memoryNetwork{h.self.ID, inboxes}, Prober: healthyProber{}, Decode: decodeRelease,
			Inbox: inboxes[h.self.ID], Views: []*ring.Ring[*dataplane.View]{views}, Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler),
		})
		go func() { ended <- c.Run(ctx) }()
		go runWorker(ctx, c, views, inForce)
	}
	for g := pimentospread.Generation(1); g <= 2; g++ {
		for range s.hosts {
			if got := <-inForce; got != g {
				t.Errorf("generation %d is in force, want %d", got, g)
			}
		}
		if g == 1 {
			p.releases <- object(t, pimentospread.KindRelease, 2, newRelease(2, 4))
		}
	}
	cancel()
	for range s.hosts {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// runWorker loads views like a data-plane worker and reports each generation that comes into force.
func runWorker(ctx context.Context, c *controlplane.Controller, views *ring.Ring[*dataplane.View], inForce chan<- pimentospread.Generation) {
	var last pimentospread.Generation
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-views.Items():
			_ = c.ReportLoaded(ctx, controlplane.ViewLoaded{Sequence: v.Sequence, Prepared: v.Generation()})
			if v.Ready && v.Active && v.Generation() > last {
				last = v.Generation()
				inForce <- last
			}
		}
	}
}
