package dataplane_test

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/request"
)

func newDispatcherNode(sim *simulation, h *simulatedHost) requestNode {
	return dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
		Self: h.id, Incarnation: h.incarnation, Admission: &fifoAdmission{limit: 8},
		Placement: newSlotPlacement(simulationTargets, 2, sim.random), Random: sim.random, Started: h.started.Add(h.skew),
	})
}

// baseline sends every request once for each host and incarnation that receives
// it. With passToRankedHost set, a host passes a request on to the live host
// that ranks first for it.
type baseline struct {
	passToRankedHost bool
	id               pimentospread.HostID
	view             *dataplane.View
	random           *rand.Rand
	sent             map[pimentospread.RequestID]bool
}

type passedRequest struct{ q request.Request }

func (passedRequest) MessageKind() pimentospread.MessageKind { return "PassedOn" }

func newBaselineNode(passToRankedHost bool) func(*simulation, *simulatedHost) requestNode {
	return func(sim *simulation, h *simulatedHost) requestNode {
		return &baseline{passToRankedHost: passToRankedHost, id: h.id, view: h.view, random: sim.random, sent: map[pimentospread.RequestID]bool{}}
	}
}

func (b *baseline) Configure(_ time.Time, view *dataplane.View, _ *dataplane.RequestActions) {
	b.view = view
}
func (b *baseline) HandleAnswer(time.Time, request.Answer, *dataplane.RequestActions) {}
func (b *baseline) Tick(time.Time, *dataplane.RequestActions)                         {}

func (b *baseline) HandleRequest(now time.Time, q request.Request, actions *dataplane.RequestActions) {
	if owner := member.Rank(q.ID.Hash(), b.view.LiveHosts, 1); b.passToRankedHost && len(owner) > 0 && owner[0] != b.id {
		actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: owner[0], Message: passedRequest{q}})
		return
	}
	b.HandlePeerMessage(now, pimentospread.Inbound{Message: passedRequest{q}}, actions)
}

func (b *baseline) HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *dataplane.RequestActions) {
	p, passed := in.Message.(passedRequest)
	if !passed || b.sent[p.q.ID] || p.q.Cancelled || !now.Before(p.q.Deadline) {
		return
	}
	b.sent[p.q.ID] = true
	target := pimentospread.TargetID(1 + b.random.IntN(simulationTargets))
	actions.Attempts = append(actions.Attempts, request.Attempt{
		ID: pimentospread.AttemptID(b.random.Uint64()), Request: p.q.ID, Target: target, Address: targetAddress(target), Deadline: p.q.Deadline,
	})
}

// TestOutcomesUnderRandomFaults guards against a non-idempotent request that runs
// twice, a request that ran but is reported as not run, and answers that are mixed
// or belong to another request. Two baselines run in the same scenarios to show that
// the faults cause such errors without claims.
func TestOutcomesUnderRandomFaults(t *testing.T) {
	errorCounts := map[string]int{}
	requests, served := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		sim := newSimulation(s, newDispatcherNode)
		sim.runScenario()
		for _, violation := range sim.violations() {
			t.Error(violation)
		}
		requests, served = requests+s.Requests, served+sim.countAnswered()
		for name, build := range map[string]func(*simulation, *simulatedHost) requestNode{"receiving host sends": newBaselineNode(false), "highest-ranked live host sends": newBaselineNode(true)} {
			baselineSim := newSimulation(s, build)
			baselineSim.runScenario()
			errorCounts[name] += len(baselineSim.violations())
		}
	})
	t.Logf("%d requests, %d whole answers; errors of the baselines: %v", requests, served, errorCounts)
	for name, n := range errorCounts {
		if n == 0 {
			t.Errorf("the baseline %q caused no errors, so the faults do not test the claims", name)
		}
	}
}

// TestOutcomesUnderScriptedFaults guards against wrong outcomes in fault sequences
// that random scenarios rarely contain. Each one tests one rule for granting claims.
func TestOutcomesUnderScriptedFaults(t *testing.T) {
	const second = time.Second
	var restarts []fault
	for i := range 12 {
		restarts = append(restarts, fault{Kind: restartHost, At: time.Duration(i+1) * second, Duration: second, Hosts: 1 << (i % 4)})
	}
	scenarios := map[string]scenario{
		"older roster stays valid while the other side of a partition may grant claims": {Window: 35 * second, Faults: []fault{
			{Kind: partitionAndChangeRoster, At: 2 * second, Duration: 33 * second, Hosts: 0b11111, LeavingHosts: 0b111},
		}},
		"side with less than half of the hosts grants no claim": {Window: 35 * second, Faults: []fault{
			{Kind: partitionAndChangeRoster, At: 2 * second, Duration: 33 * second, Hosts: 0b111, LeavingHosts: 0b111},
		}},
		"host that is informed of a newer roster grants no claim": {Window: 35 * second, IgnoreAnnouncedRosters: true, Faults: []fault{
			{Kind: cutBothWays, At: 2 * second, Duration: 15 * second, Hosts: 0b111},
			{Kind: changeRoster, At: 3 * second, Duration: 40 * second, Hosts: 0b111, LateHosts: 0b111},
		}},
		"restarted host without the older roster wins no claim": {Window: 35 * second, Faults: []fault{
			{Kind: partitionAndChangeRoster, At: 2 * second, Duration: 33 * second, Hosts: 0b1111, LeavingHosts: 0b111},
			{Kind: restartHost, At: 5 * second, Duration: second, Hosts: 0b110000},
			{Kind: restartHost, At: 15 * second, Duration: second, Hosts: 0b11000000},
		}},
		"paused hosts grant no claim by messages from before the pause": {Window: 35 * second, IgnoreAnnouncedRosters: true, Faults: []fault{
			{Kind: pauseAndChangeRoster, At: 2 * second, Duration: 15 * second, Hosts: 0b111, LeavingHosts: 0b111},
		}},
		"elector grants no claim after its start": {Hosts: 4, Window: 10 * second, SlowPercent: 20, DuplicatePercent: 60, Faults: restarts},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			s.Hosts, s.Domains, s.Requests, s.Copies = cmp.Or(s.Hosts, 8), 4, 60, 10
			for s.Seed = range 10 {
				sim := newSimulation(s, newDispatcherNode)
				sim.runScenario()
				if violations := sim.violations(); len(violations) > 0 {
					t.Errorf("seed %d: %v", s.Seed, violations)
				}
			}
		})
	}
}

// TestAllRequestsAnsweredWithoutFaults guards against claims that fail without any
// fault, and logs the control traffic per claim.
func TestAllRequestsAnsweredWithoutFaults(t *testing.T) {
	for _, copies := range []int{1, 4} {
		sim := newSimulation(scenario{Seed: 1, Hosts: 8, Domains: 4, Requests: 400, Copies: copies, Window: 35 * time.Second}, newDispatcherNode)
		sim.runScenario()
		if violations := sim.violations(); len(violations) > 0 || sim.countAnswered() != sim.scenario.Requests {
			t.Errorf("whole answers to %d of %d requests, want all; errors: %v", sim.countAnswered(), sim.scenario.Requests, violations)
		}
		t.Logf("up to %d copies: %d bytes of control traffic for each of 300 non-idempotent requests", copies, sim.controlBytes/300)
	}
}
