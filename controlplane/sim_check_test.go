package controlplane_test

import (
	"maps"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/dataplane"
)

// convergenceTime is the time after which connected hosts have detected each other:
// member.DeadAfter plus the start of a host.
const convergenceTime = 4 * time.Second

// stable reports whether the host has run, with the same connectivity, for at least convergenceTime.
func (h *simHost) stable() bool {
	return h.cell != nil && !h.paused && h.sim.now.Sub(h.stableSince) >= convergenceTime
}

// check verifies the invariants that must hold at any moment.
func (h *simHost) check(before pimentospread.Generation) {
	s, active := h.sim, h.cell.ActiveGeneration()
	if active < before {
		s.fail("%s: active generation decreased from %d to %d", h.self.ID, before, active)
	}
	if active > before && (h.stable() || h.stableSince.Equal(h.startedAt)) {
		for _, o := range s.hosts {
			if o != h && o.stable() && o.cell.Ready() && s.lossRate == 0 && s.connected(h, o) && o.cell.PreparedGeneration() < active {
				s.fail("%s: generation %d is active, but %s has prepared only %d", h.self.ID, active, o.self.ID, o.cell.PreparedGeneration())
			}
		}
	}
	if h.cell.Ready() && !h.wasReady {
		h.wasReady = true
		h.checkRestart(active)
	}
}

// checkAvoided guards against avoiding a target while a worker of another host
// does not flag it and would send unknown flows to it without a lookup.
func (h *simHost) checkAvoided(v *dataplane.View) {
	for id := range v.Avoided {
		if h.view != nil && h.view.Avoided[id] || !h.stable() || h.sim.lossRate > 0 {
			continue
		}
		for _, o := range h.sim.hosts {
			if !o.stable() || !o.cell.Ready() || !h.sim.connected(h, o) {
				continue
			}
			for d, w := range o.loadedViews {
				if !w.Flagged[id] {
					h.sim.fail("%s: target %d is avoided, but worker %d of %s does not flag it", h.self.ID, id, d, o.self.ID)
				}
			}
		}
	}
}

// checkRestart guards against a host that restarts with an older release than it served before.
func (h *simHost) checkRestart(active pimentospread.Generation) {
	s := h.sim
	if active >= h.highestServed {
		return
	}
	if s.platform.reachableFrom(h) && s.platform.lossRate == 0 && s.now.Sub(s.lastFaultAt) >= convergenceTime {
		s.fail("%s: ready with generation %d after it served %d, although the platform is reachable", h.self.ID, active, h.highestServed)
	}
	for _, o := range s.hosts {
		if o != h && o.stable() && s.connected(h, o) && o.cell.HeldGeneration() >= h.highestServed {
			s.fail("%s: ready with generation %d after it served %d, which %s holds", h.self.ID, active, h.highestServed, o.self.ID)
		}
	}
}

// checkInForce verifies that the published generation is active on every running host
// that can reach the platform's side of the network.
func (s *sim) checkInForce() {
	g := s.platform.release.Release.Generation
	for _, h := range s.hosts {
		if h.cell == nil || s.partitions[h.self.FailureDomain] != 0 {
			continue
		}
		if h.cell.ActiveGeneration() != g || h.view.Generation() != g || !h.view.Active || !h.cell.Ready() {
			s.fail("%s: generation %d (held %d, prepared %d, ready %v) %s after %d was published",
				h.self.ID, h.cell.ActiveGeneration(), h.cell.HeldGeneration(), h.cell.PreparedGeneration(), h.cell.Ready(), s.now.Sub(s.platform.publishedAt), g)
		}
	}
}

// checkAgreement verifies that the views of all running hosts are equal.
func (s *sim) checkAgreement() {
	var first *simHost
	for _, h := range s.hosts {
		if h.cell == nil {
			continue
		}
		if first == nil {
			first = h
		}
		if v := h.view.Roster.Version; v != s.platform.roster.Version {
			s.fail("%s: roster version %d, the platform has %d", h.self.ID, v, s.platform.roster.Version)
		}
		if d := cmp.Diff(first.summary(), h.summary()); d != "" {
			s.fail("views of %s and %s differ:\n%s", first.self.ID, h.self.ID, d)
		}
	}
}

type summary struct {
	Generation                                      pimentospread.Generation
	Roster                                          pimentospread.ObjectVersion
	Active, Ready, PeerStateUnknown, Isolated       bool
	Live                                            []pimentospread.HostID
	FlaggedTargets, AvoidedTargets, DrainingTargets []pimentospread.TargetID
}

func (h *simHost) summary() summary {
	v := h.view
	t := summary{
		Generation: v.Generation(), Roster: v.Roster.Version,
		Active: v.Active, Ready: v.Ready, PeerStateUnknown: v.PeerStateUnknown, Isolated: v.Isolated,
		FlaggedTargets:  slices.Sorted(maps.Keys(v.Flagged)),
		AvoidedTargets:  slices.Sorted(maps.Keys(v.Avoided)),
		DrainingTargets: slices.Sorted(maps.Keys(v.Draining)),
	}
	for _, l := range v.LiveHosts {
		t.Live = append(t.Live, l.ID)
	}
	return t
}
