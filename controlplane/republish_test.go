package controlplane_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/release"
	"pimentospread/ring"
)

// lossyPlatform is a platform that has lost releases. It fails the first writes.
type lossyPlatform struct {
	memoryPlatform
	failures int
	written  chan pimentospread.Object
}

func (p *lossyPlatform) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	if p.failures > 0 {
		p.failures--
		return 0, pimentospread.ErrUnavailable.New("outage")
	}
	p.written <- pimentospread.Object{ObjectKey: key, Version: expected, Value: value}
	return expected + 1, nil
}

// Guards against a release that was accepted and in force and is lost with the platform's
// store: hosts kept it, but none wrote it back, so that hosts that started later and the
// next publisher continued from an older one.
func TestReleaseLostByThePlatformIsWrittenAgain(t *testing.T) {
	s := newSim(1, 1, 1, t.Fatalf)
	older := object(t, pimentospread.KindRelease, pimentospread.NewObjectVersion(1, 5), newRelease(1, 4))
	p := &lossyPlatform{
		memoryPlatform: memoryPlatform{
			roster:   object(t, pimentospread.KindRoster, 1, member.Roster{Hosts: []member.Host{s.hosts[0].self}}),
			first:    older,
			releases: make(chan pimentospread.Object, 1),
		},
		failures: 2, written: make(chan pimentospread.Object, 2),
	}
	views := ring.New[*dataplane.View](1, ring.DropOldest)
	c := controlplane.NewController(controlplane.Deps{
		Config: controlplane.Config{Self: s.hosts[0].self, Incarnation: 1}, Cell: "cell-1", Clock: pimentospread.SystemClock{},
		Platform: p, Network: memoryNetwork{}, Prober: healthyProber{}, Decode: decodeRelease,
		Inbox: ring.New[pimentospread.Inbound](1, ring.DropOldest), Views: []*ring.Ring[*dataplane.View]{views}, Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended, inForce := make(chan error), make(chan pimentospread.Generation)
	go func() { ended <- c.Run(ctx) }()
	go runWorker(ctx, c, views, inForce)
	<-inForce
	newer := object(t, pimentospread.KindRelease, pimentospread.NewObjectVersion(1, 9), newRelease(2, 4))
	p.releases <- newer
	<-inForce
	older.Version = pimentospread.NewObjectVersion(2, 5)
	p.releases <- older
	want := []pimentospread.Object{
		{ObjectKey: release.ArchiveKey("cell-1", 1), Value: older.Value},
		{ObjectKey: newer.ObjectKey, Version: older.Version, Value: newer.Value},
	}
	if diff := cmp.Diff(want, []pimentospread.Object{<-p.written, <-p.written}); diff != "" {
		t.Errorf("archived release, and the one written over its version (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a write of the held release after a read that shows no loss.
func TestNewestReleaseIsNotWrittenAgain(t *testing.T) {
	s := newSim(1, 1, 1, t.Fatalf)
	c := controlplane.NewCell(s.now, controlplane.Config{Self: s.hosts[0].self, Incarnation: 1})
	first := s.platform.release
	s.platform.publish()
	for _, packed := range []*controlplane.PackedRelease{first, first, s.platform.release, nil, s.platform.release} {
		if a := c.Handle(s.now, controlplane.ReleaseRead{PackedRelease: packed, Version: 3}); a.Republish != nil {
			t.Errorf("release %d is written again, want none", a.Republish.PackedRelease.Release.Generation)
		}
	}
	a := c.Handle(s.now, controlplane.ReleaseRead{PackedRelease: first, Version: 7})
	if a.Republish == nil || a.Republish.PackedRelease != s.platform.release || a.Republish.Expected != 7 {
		t.Errorf("republication %+v, want that of generation 2 over version 7", a.Republish)
	}
}
