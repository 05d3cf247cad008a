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

func buildDecider(c *cell, h *cellHost) node {
	return dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
		Self: h.id, Incarnation: h.incarnation, Admission: &queue{limit: 8},
		Placement: newSlots(cellTargets, 2, c.random), Random: c.random, Started: h.started.Add(h.skew),
	})
}

// baseline sends every request once for each host and run that gets it. With
// hashed set, hosts pass a request to the live host that ranks first for it.
type baseline struct {
	hashed bool
	id     pimentospread.HostID
	view   *dataplane.View
	random *rand.Rand
	seen   map[pimentospread.RequestID]bool
}

type passedOn struct{ q request.Request }

func (passedOn) MessageKind() pimentospread.MessageKind { return "PassedOn" }

func buildBaseline(hashed bool) func(*cell, *cellHost) node {
	return func(c *cell, h *cellHost) node {
		return &baseline{hashed: hashed, id: h.id, view: h.view, random: c.random, seen: map[pimentospread.RequestID]bool{}}
	}
}

func (b *baseline) Configure(_ time.Time, view *dataplane.View, _ *dataplane.RequestActions) {
	b.view = view
}
func (b *baseline) HandleAnswer(time.Time, request.Answer, *dataplane.RequestActions) {}
func (b *baseline) Tick(time.Time, *dataplane.RequestActions)                         {}

func (b *baseline) HandleRequest(now time.Time, q request.Request, actions *dataplane.RequestActions) {
	if owner := member.Rank(q.ID.Hash(), b.view.LiveHosts, 1); b.hashed && len(owner) > 0 && owner[0] != b.id {
		actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: owner[0], Message: passedOn{q}})
		return
	}
	b.HandlePeerMessage(now, pimentospread.Inbound{Message: passedOn{q}}, actions)
}

func (b *baseline) HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *dataplane.RequestActions) {
	p, passed := in.Message.(passedOn)
	if !passed || b.seen[p.q.ID] || p.q.Cancelled || !now.Before(p.q.Deadline) {
		return
	}
	b.seen[p.q.ID] = true
	target := pimentospread.TargetID(1 + b.random.IntN(cellTargets))
	actions.Attempts = append(actions.Attempts, request.Attempt{
		ID: pimentospread.AttemptID(b.random.Uint64()), Request: p.q.ID, Target: target, Address: targetAddress(target), Deadline: p.q.Deadline,
	})
}

// Guards against a non-idempotent request that runs twice, a request reported
// "not run" that ran, and answers that are mixed or of another request. Two
// simple rules go through the same storms; they show that the storms do harm.
func TestStormsKeepOutcomes(t *testing.T) {
	twice := map[string]int{}
	requests, served := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawStorm(t)
		c := newCell(s, buildDecider)
		c.weather()
		for _, wrong := range c.wrongs() {
			t.Error(wrong)
		}
		requests, served = requests+s.Requests, served+c.served()
		for name, build := range map[string]func(*cell, *cellHost) node{"receiver runs": buildBaseline(false), "live hash owner runs": buildBaseline(true)} {
			b := newCell(s, build)
			b.weather()
			twice[name] += len(b.wrongs())
		}
	})
	t.Logf("requests %d, whole answers %d; run twice by the baselines: %v", requests, served, twice)
	for name, n := range twice {
		if n == 0 {
			t.Errorf("the rule %q ran nothing twice, so the storms prove nothing", name)
		}
	}
}

// Guards one rule each against situations that random storms rarely meet.
func TestNamedStormsKeepOutcomes(t *testing.T) {
	const second = time.Second
	var restarts []fault
	for i := range 12 {
		restarts = append(restarts, fault{Kind: restart, At: time.Duration(i+1) * second, For: second, Hosts: 1 << (i % 4)})
	}
	storms := map[string]storm{
		"an older roster counts while the other side of a split may grant": {Window: 35 * second, Faults: []fault{
			{Kind: split, At: 2 * second, For: 33 * second, Hosts: 0b11111, Leaving: 0b111},
		}},
		"a side that hears less than half grants nothing": {Window: 35 * second, Faults: []fault{
			{Kind: split, At: 2 * second, For: 33 * second, Hosts: 0b111, Leaving: 0b111},
		}},
		"a host that hears of a newer roster grants nothing": {Window: 35 * second, Deaf: true, Faults: []fault{
			{Kind: cutBothWays, At: 2 * second, For: 15 * second, Hosts: 0b111},
			{Kind: list, At: 3 * second, For: 40 * second, Hosts: 0b111, Late: 0b111},
		}},
		"a new run that knows no older roster wins nothing": {Window: 35 * second, Faults: []fault{
			{Kind: split, At: 2 * second, For: 33 * second, Hosts: 0b1111, Leaving: 0b111},
			{Kind: restart, At: 5 * second, For: second, Hosts: 0b110000},
			{Kind: restart, At: 15 * second, For: second, Hosts: 0b11000000},
		}},
		"paused hosts grant nothing by what they heard before": {Window: 35 * second, Deaf: true, Faults: []fault{
			{Kind: freeze, At: 2 * second, For: 15 * second, Hosts: 0b111, Leaving: 0b111},
		}},
		"an elector grants nothing after its start": {Hosts: 4, Window: 10 * second, Slow: 20, Duplicate: 60, Faults: restarts},
	}
	for name, s := range storms {
		t.Run(name, func(t *testing.T) {
			s.Hosts, s.Domains, s.Requests, s.Copies = cmp.Or(s.Hosts, 8), 4, 60, 10
			for s.Seed = range 10 {
				c := newCell(s, buildDecider)
				c.weather()
				if wrong := c.wrongs(); len(wrong) > 0 {
					t.Errorf("seed %d: %v", s.Seed, wrong)
				}
			}
		})
	}
}

// Guards against claims that fail, or cost more messages, without any fault.
func TestQuietCellServesEverything(t *testing.T) {
	for _, copies := range []int{1, 4} {
		c := newCell(storm{Seed: 1, Hosts: 8, Domains: 4, Requests: 400, Copies: copies, Window: 35 * time.Second}, buildDecider)
		c.weather()
		if wrong := c.wrongs(); len(wrong) > 0 || c.served() != c.storm.Requests {
			t.Errorf("whole answers to %d of %d requests; %v", c.served(), c.storm.Requests, wrong)
		}
		t.Logf("up to %d copies: %d control bytes for each of 300 non-idempotent requests", copies, c.control/300)
	}
}
