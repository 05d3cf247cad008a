package controlplane_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/controlplane"
)

// Time limits from the design page: activating a release of the current size, and
// ending new work for a draining target.
const (
	activationBound = 5 * time.Second
	drainBound      = 3 * time.Second
)

func drainReport() controlplane.TargetProbed {
	return controlplane.TargetProbed{Answered: true, Report: pimentospread.LoadReport{Healthy: true, Draining: true}}
}

// runRandomStep draws and performs one fault, repair or change of the cell.
func (s *sim) runRandomStep(t *rapid.T) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	target := pimentospread.TargetID(rapid.IntRange(1, 2).Draw(t, "target"))
	switch rapid.SampledFrom([]string{
		"publish", "publish", "kill host", "start host", "restart host", "pause host", "resume host", "partition", "end partition",
		"toggle platform", "impair network", "target down", "target drain", "targets recover", "change roster", "wait", "wait",
	}).Draw(t, "step") {
	case "publish":
		if s.platform.available {
			s.platform.publish()
		}
	case "kill host":
		h.kill()
	case "restart host":
		h.kill()
		s.advance(3 * time.Second)
		s.platform.publish()
		h.start()
	case "start host":
		if h.cell == nil {
			h.start()
		}
	case "pause host":
		h.pause()
	case "resume host":
		if h.paused && h.cell != nil {
			h.resume()
		}
	case "partition":
		s.setSide(h.self.FailureDomain, rapid.IntRange(1, 2).Draw(t, "side"))
	case "end partition":
		s.setSide(h.self.FailureDomain, 0)
	case "toggle platform":
		s.platform.setAvailable(!s.platform.available)
	case "impair network":
		s.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		s.platform.lossRate, s.platform.staleRate = s.lossRate, s.lossRate
		s.platform.latency = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}).Draw(t, "lag")
		s.lastFaultAt = s.now
	case "target down":
		s.probeResults[target] = controlplane.TargetProbed{Target: target}
	case "target drain":
		p := drainReport()
		p.Target = target
		s.probeResults[target] = p
	case "targets recover":
		clear(s.probeResults)
	case "change roster":
		s.platform.setRoster(s.hosts[:rapid.IntRange(len(s.hosts)-2, len(s.hosts)).Draw(t, "listed")])
	}
	s.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
}

// endAllFaults repairs the network and the platform and restarts or resumes all hosts.
func (s *sim) endAllFaults() {
	s.lossRate, s.platform.lossRate, s.platform.staleRate, s.platform.latency = 0, 0, 0, 5*time.Millisecond
	for _, h := range s.hosts {
		s.partitions[h.self.FailureDomain] = 0
		h.stableSince = s.now
		switch {
		case h.cell == nil:
			h.start()
		case h.paused:
			h.resume()
		}
	}
	s.platform.setAvailable(true)
	s.platform.setRoster(s.hosts)
}

// TestCellConverges guards against generations that decrease, releases that become
// active before all live hosts have prepared them, hosts that restart with an older
// release, views that still differ after the last fault, and new work for a
// draining target.
func TestCellConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(4, 9).Draw(t, "hosts")
		s := newSim(rapid.Uint64().Draw(t, "seed"), hosts, rapid.IntRange(1, 4).Draw(t, "domains"), t.Fatalf)
		s.bytesByKind = nil
		s.advance(5 * time.Second)
		s.checkInForce()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.runRandomStep(t)
		}
		s.endAllFaults()
		s.advance(activationBound)
		s.platform.publish()
		s.advance(activationBound)
		s.checkInForce()
		s.advance(20 * time.Second)
		s.checkInForce()
		s.checkAgreement()
		p := drainReport()
		p.Target = 3
		s.probeResults[3] = p
		s.advance(drainBound)
		for _, h := range s.hosts {
			if !h.view.Draining[3] || !h.view.Avoided[3] {
				t.Fatalf("%s: target 3 draining %v, avoided %v %s after its draining report, want true and true", h.self.ID, h.view.Draining[3], h.view.Avoided[3], drainBound)
			}
		}
	})
}

// TestReleaseReachesAllAfterOneRelay guards against a release that does not spread
// from the only relay that read it before the platform became unavailable.
func TestReleaseReachesAllAfterOneRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 9).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "domains"), t.Fatalf)
		s.bytesByKind = nil
		s.advance(time.Duration(rapid.IntRange(5000, 40000).Draw(t, "milliseconds")) * time.Millisecond)
		s.platform.delivered = func() {
			if s.platform.available {
				s.platform.setAvailable(false)
			}
		}
		s.platform.publish()
		s.advance(activationBound)
		s.checkInForce()
		// A restart during the outage must not restore an older generation.
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "restarted")]
		h.kill()
		s.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "down")) * time.Millisecond)
		h.start()
		s.advance(2 * activationBound)
		s.checkInForce()
		s.checkAgreement()
	})
}

// TestPlatformCallsDoNotGrowWithHosts guards against hosts that watch the platform
// without being relays.
func TestPlatformCallsDoNotGrowWithHosts(t *testing.T) {
	calls := map[int]int{}
	for _, hosts := range []int{4, 8, 16} {
		s := newSim(1, hosts, 2, t.Fatalf)
		s.advance(30 * time.Second)
		s.platform.calls = 0
		s.bytesByKind = map[pimentospread.MessageKind]int{}
		for range 4 {
			s.platform.publish()
			s.advance(30 * time.Second)
		}
		calls[hosts] = s.platform.calls
		total := 0
		for _, n := range s.bytesByKind {
			total += n
		}
		t.Logf("%d hosts: %d calls in 2 min with 4 releases, %d bytes/s sent by a host (%v)", hosts, s.platform.calls, total/120/hosts, s.bytesByKind)
	}
	if calls[4] != calls[8] || calls[8] != calls[16] {
		t.Errorf("platform calls with 4, 8 and 16 hosts in two failure domains: %v, want the same", calls)
	}
}
