package controlplane_test

import (
	"testing"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/member"
)

// TestRestartWaitsForPlatform guards against a host that becomes ready with the
// older release of its peers before a slow platform has answered.
func TestRestartWaitsForPlatform(t *testing.T) {
	s := newSim(1, 4, 2, t.Fatalf)
	s.advance(5 * time.Second)
	s.setSide("domain-1", 1)
	s.platform.publish()
	s.advance(activationBound)
	// Kill all hosts that have the new release; only one of them restarts at first, among
	// hosts that have the old one.
	for _, h := range s.hosts {
		if h.self.FailureDomain == "domain-0" {
			h.kill()
		}
	}
	s.platform.latency = 3 * time.Second
	s.setSide("domain-1", 0)
	s.hosts[0].start()
	s.advance(2500 * time.Millisecond)
	if h := s.hosts[0]; h.cell.Ready() {
		t.Errorf("ready with generation %d before the platform answered, although it served generation %d before the restart", h.cell.ActiveGeneration(), h.highestServed)
	}
	s.hosts[2].start()
	s.advance(20 * time.Second)
	s.checkInForce()
}

// TestJoinDuringOutage guards against a new host that cannot join while the platform is
// down because no roster lists it.
func TestJoinDuringOutage(t *testing.T) {
	s := newSim(1, 5, 2, t.Fatalf)
	joining := s.hosts[4]
	joining.kill()
	s.hosts, s.seeds = s.hosts[:4], s.seeds[:4]
	s.platform.setRoster(s.hosts)
	for _, h := range s.hosts {
		h.start()
	}
	s.advance(activationBound)
	s.platform.setAvailable(false)
	joining.start()
	s.hosts = append(s.hosts, joining)
	s.advance(2 * activationBound)
	s.checkInForce()
	s.checkAgreement()
}

// TestPauseMakesPeerStateUnknown guards against a host that uses its liveness data from before a pause.
func TestPauseMakesPeerStateUnknown(t *testing.T) {
	s := newSim(1, 4, 2, t.Fatalf)
	s.advance(activationBound)
	h := s.hosts[0]
	h.pause()
	s.advance(3 * time.Second)
	h.buffered = nil
	h.resume()
	if !h.view.PeerStateUnknown || len(h.view.LiveHosts) != 4 {
		t.Errorf("after a pause: peer state unknown %v with %d live hosts, want true with 4", h.view.PeerStateUnknown, len(h.view.LiveHosts))
	}
	s.advance(time.Second)
	if h.view.PeerStateUnknown {
		t.Error("peer state still unknown after a heartbeat from every peer")
	}
	s.setSide("domain-0", 1)
	s.setSide("domain-1", 2)
	s.hosts[2].kill()
	s.advance(4 * time.Second)
	if !h.view.Isolated {
		t.Error("not isolated after 4 s without heartbeats")
	}
}

// TestRestartFetchesFlags guards against a restarted host that becomes ready
// without the flags of recently recovered targets, and then sends flows back to
// them that were moved to other targets in the meantime.
func TestRestartFetchesFlags(t *testing.T) {
	s := newSim(1, 4, 2, t.Fatalf)
	s.advance(activationBound)
	s.probeResults[1] = controlplane.TargetProbed{Target: 1}
	s.advance(activationBound)
	clear(s.probeResults)
	s.advance(2 * activationBound)
	h := s.hosts[0]
	if v := h.view; !v.Flagged[1] || v.Avoided[1] {
		t.Fatalf("after the recovery: flagged %v, avoided %v, want flagged only", v.Flagged, v.Avoided)
	}
	h.kill()
	s.advance(activationBound)
	h.start()
	for !h.cell.Ready() {
		s.advance(time.Millisecond)
	}
	if !h.view.Flagged[1] {
		t.Error("ready without the flag of target 1, which was down recently")
	}
}

// TestOutdatedReleaseMakesPeerStateUnknown guards against a host that trusts its tables
// after a partition during which the other hosts activated a newer release.
func TestOutdatedReleaseMakesPeerStateUnknown(t *testing.T) {
	s := newSim(1, 4, 2, t.Fatalf)
	s.advance(activationBound)
	s.setSide("domain-1", 1)
	s.platform.publish()
	s.advance(activationBound)
	h := s.hosts[1]
	s.setSide("domain-1", 0)
	peerStateUnknown := false
	for h.view.Generation() < 2 {
		s.advance(time.Millisecond)
		peerStateUnknown = peerStateUnknown || h.view.PeerStateUnknown
	}
	if !peerStateUnknown {
		t.Error("peer state never unknown while peers route new flows by a release that the host has not prepared")
	}
}

// TestStartTakesNewestRelease guards against a host that becomes ready with, or
// returns to, a release older than the newest one that peers have reported to it.
func TestStartTakesNewestRelease(t *testing.T) {
	s := newSim(1, 3, 1, t.Fatalf)
	now := s.now
	c := controlplane.NewCell(now, controlplane.Config{Self: s.hosts[0].self, Incarnation: 1, Seeds: s.seeds})
	older := s.platform.release
	s.platform.publish()
	newer := s.platform.release
	handle := func(events ...controlplane.Event) {
		for _, e := range events {
			if a := c.Handle(now, e); a.Build != nil {
				c.Handle(now, a.Build.Run())
			}
		}
	}
	sequence := uint64(0)
	heartbeat := func(from int, g pimentospread.Generation) controlplane.Event {
		sequence++
		h := member.Heartbeat{Sequence: sequence, Held: g, Prepared: g, Active: g, Ready: true}
		return controlplane.HeartbeatReceived{From: s.hosts[from].self.ID, Incarnation: 1, Heartbeat: h}
	}
	handle(controlplane.Tick{}, controlplane.ReleaseRead{PackedRelease: older}, controlplane.PlatformReadDone{Answered: true})
	for range 5 {
		now = now.Add(member.HeartbeatInterval)
		handle(controlplane.Tick{}, heartbeat(1, 1), heartbeat(2, 1))
	}
	if c.Ready() {
		t.Fatal("ready before a peer has sent its flags")
	}
	handle(heartbeat(2, 2), controlplane.ReplyReceived{From: s.hosts[1].self.ID})
	if c.Ready() {
		t.Fatalf("ready with generation %d although a live peer has 2", c.ActiveGeneration())
	}
	handle(controlplane.ReplyReceived{From: s.hosts[2].self.ID, PackedRelease: newer}, heartbeat(1, 2), heartbeat(2, 2))
	if !c.Ready() || c.ActiveGeneration() != 2 {
		t.Fatalf("ready %v with generation %d, want true with 2", c.Ready(), c.ActiveGeneration())
	}
	handle(controlplane.ReleaseRead{PackedRelease: older}, controlplane.Tick{})
	if c.HeldGeneration() != 2 || c.ActiveGeneration() != 2 {
		t.Errorf("held %d and active %d after an old release was read, want 2 and 2", c.HeldGeneration(), c.ActiveGeneration())
	}
}

// TestLeaveTakesNoNewWork guards against a host that is selected for new work or
// remains a relay while it shuts down.
func TestLeaveTakesNoNewWork(t *testing.T) {
	s := newSim(1, 4, 1, t.Fatalf)
	s.advance(activationBound)
	for _, h := range s.hosts[:2] {
		h.handle(controlplane.Leave{})
		if h.cell.Ready() || !h.view.Leaving || h.view.Ready {
			t.Errorf("%s: ready %v, leaving %v, want false and true", h.self.ID, h.view.Ready, h.view.Leaving)
		}
	}
	s.advance(time.Second)
	for _, h := range s.hosts {
		if len(h.view.LiveHosts) != 2 {
			t.Errorf("%s: live hosts %v, want the two that are not leaving", h.self.ID, h.view.LiveHosts)
		}
	}
	s.platform.publish()
	s.advance(activationBound)
	for _, h := range s.hosts {
		if !h.view.Active || h.view.Generation() != 2 {
			t.Errorf("%s: generation %d, active %v, want 2 active while hosts leave", h.self.ID, h.view.Generation(), h.view.Active)
		}
	}
}

// TestLeavingCellTakesReleases guards against hosts that steer by the release of the time when
// their shutdown began, because each of them stopped watching the platform.
func TestLeavingCellTakesReleases(t *testing.T) {
	for _, hosts := range []int{1, 4} {
		s := newSim(1, hosts, 1, t.Fatalf)
		s.advance(activationBound)
		for _, h := range s.hosts {
			h.handle(controlplane.Leave{})
		}
		s.advance(time.Second)
		s.platform.publish()
		s.advance(activationBound)
		for _, h := range s.hosts {
			if h.view.Generation() != 2 || !h.view.Active {
				t.Errorf("%s of %d: generation %d, active %v, want 2 active while all hosts leave", h.self.ID, hosts, h.view.Generation(), h.view.Active)
			}
		}
	}
}
