package dataplane_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/peer"
	"pimentospread/request"
)

const (
	simulationTargets  = 3
	simulationLifetime = 4 * time.Second
	simulationTick     = 100 * time.Millisecond
)

// requestNode is the part of a host that the simulation runs: a
// RequestDispatcher or a baseline.
type requestNode interface {
	Configure(now time.Time, view *dataplane.View, actions *dataplane.RequestActions)
	HandleRequest(now time.Time, q request.Request, actions *dataplane.RequestActions)
	HandleAnswer(now time.Time, answer request.Answer, actions *dataplane.RequestActions)
	HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *dataplane.RequestActions)
	Tick(now time.Time, actions *dataplane.RequestActions)
}

// heartbeat is a simplified heartbeat with the version of the sender's roster.
type heartbeat struct{ roster pimentospread.ObjectVersion }

func (heartbeat) MessageKind() pimentospread.MessageKind { return "Heartbeat" }

type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].serial, e[j].serial)) < 0
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs hosts and targets with a simulated clock and a faulty network.
type simulation struct {
	scenario     scenario
	now          time.Time
	random       *rand.Rand
	events       eventQueue
	serial       int
	hosts        []*simulatedHost
	targets      []*simulatedTarget
	rosters      []member.Roster
	blockedUntil map[[2]int]time.Time
	newNode      func(sim *simulation, h *simulatedHost) requestNode

	// runCounts, reportedNotRun and answers are keyed by the caller's token, which identifies the request.
	runCounts      map[string]int
	reportedNotRun map[string]bool
	answers        map[string]map[string][]request.Part
	controlBytes   int
}

type simulatedHost struct {
	index           int
	id              pimentospread.HostID
	domain          pimentospread.FailureDomain
	skew            time.Duration
	incarnation     pimentospread.Incarnation
	started         time.Time
	node            requestNode
	dead            bool
	pausedUntil     time.Time
	ticks           int
	lastHeartbeatAt map[pimentospread.HostID]time.Time
	view            *dataplane.View
}

type simulatedTarget struct {
	skew time.Duration
	// replies are the answers of the target to each attempt, which it repeats for a duplicate of the attempt.
	replies map[pimentospread.AttemptID][]request.Answer
	running int
}

func newSimulation(s scenario, build func(*simulation, *simulatedHost) requestNode) *simulation {
	sim := &simulation{
		scenario: s, now: startTime, random: rand.New(rand.NewPCG(s.Seed, 1)), blockedUntil: map[[2]int]time.Time{}, newNode: build,
		runCounts: map[string]int{}, reportedNotRun: map[string]bool{},
		answers: map[string]map[string][]request.Part{},
	}
	for i := range s.Hosts {
		sim.hosts = append(sim.hosts, &simulatedHost{
			index: i, id: pimentospread.HostID(fmt.Sprintf("h%d", i)), skew: sim.skew(),
			domain: pimentospread.FailureDomain(fmt.Sprintf("d%d", i%s.Domains)), started: startTime.Add(-time.Hour),
		})
	}
	for range simulationTargets {
		sim.targets = append(sim.targets, &simulatedTarget{skew: sim.skew(), replies: map[pimentospread.AttemptID][]request.Answer{}})
	}
	sim.rosters = []member.Roster{sim.roster(sim.hosts)}
	for _, h := range sim.hosts {
		sim.startNode(h, sim.rosters[0], member.Roster{})
		for _, p := range sim.hosts {
			h.lastHeartbeatAt[p.id], h.view.PeerRosterVersions[p.id] = sim.now, 1
		}
	}
	return sim
}

func (sim *simulation) skew() time.Duration {
	return time.Duration(sim.random.IntN(1000)-500) * time.Millisecond
}

func (sim *simulation) roster(hosts []*simulatedHost) member.Roster {
	r := member.Roster{Version: pimentospread.ObjectVersion(len(sim.rosters) + 1)}
	for _, h := range hosts {
		r.Hosts = append(r.Hosts, member.Host{ID: h.id, FailureDomain: h.domain, State: member.Live})
	}
	return r
}

// startNode starts a new incarnation of a host, without any state of the earlier ones.
func (sim *simulation) startNode(h *simulatedHost, roster, previous member.Roster) {
	h.incarnation++
	h.dead, h.ticks, h.lastHeartbeatAt = false, 0, map[pimentospread.HostID]time.Time{}
	h.view = newTestView(simulationTargets)
	h.view.Services[testServiceID].Policy.MaxLifetime.Duration = simulationLifetime
	h.view.Self, h.view.Incarnation, h.view.Roster, h.view.PreviousRoster = h.id, h.incarnation, roster, previous
	h.view.PeerRosterVersions = request.AnnouncedVersions{}
	h.node = sim.newNode(sim, h)
	sim.tick(h, h.incarnation)
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.events, event{at: sim.now.Add(d), serial: sim.serial, run: run})
}

func (sim *simulation) advance(length time.Duration) {
	for end := sim.now.Add(length); len(sim.events) > 0 && !sim.events[0].at.After(end); {
		e, _ := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// runAt calls act with the host's own time, after its pause if it is paused, and
// carries out the actions.
func (sim *simulation) runAt(h *simulatedHost, act func(now time.Time, actions *dataplane.RequestActions)) {
	if h.dead {
		return
	}
	if sim.now.Before(h.pausedUntil) {
		sim.schedule(h.pausedUntil.Sub(sim.now)+time.Duration(sim.random.IntN(20))*time.Millisecond, func() { sim.runAt(h, act) })
		return
	}
	actions := &dataplane.RequestActions{}
	act(sim.now.Add(h.skew), actions)
	for _, a := range actions.Attempts {
		sim.deliver(-1, -1, func() { sim.receiveAttempt(h, a) })
	}
	for _, p := range actions.PeerMessages {
		sim.send(h, p)
	}
	for _, r := range actions.Replies {
		sim.receiveReply(r)
	}
}

// deliver sends a message over the network, which may delay, duplicate or lose
// it. Partitions apply only to peers, which have an index; other senders and
// receivers pass -1.
func (sim *simulation) deliver(from, to int, arrive func()) {
	copies := 1
	if sim.random.IntN(100) < sim.scenario.DuplicatePercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+sim.random.IntN(20)) * time.Millisecond
		if sim.random.IntN(100) < sim.scenario.SlowPercent {
			delay = time.Duration(sim.random.IntN(int(simulationLifetime * 3 / 2)))
		}
		if sim.now.Before(sim.blockedUntil[[2]int{from, to}]) || sim.random.IntN(100) < sim.scenario.LossPercent {
			continue
		}
		sim.schedule(delay, arrive)
	}
}

func (sim *simulation) send(h *simulatedHost, out pimentospread.Outbound) {
	in := pimentospread.Inbound{From: h.id, Incarnation: h.incarnation, Message: out.Message}
	for _, to := range sim.hosts {
		if to.id == out.To {
			sim.controlBytes += frameSize(in)
			sim.deliver(h.index, to.index, func() { sim.receive(to, in) })
		}
	}
}

func (sim *simulation) receive(h *simulatedHost, in pimentospread.Inbound) {
	sim.runAt(h, func(now time.Time, actions *dataplane.RequestActions) {
		b, isHeartbeat := in.Message.(heartbeat)
		if !isHeartbeat {
			h.node.HandlePeerMessage(now, in, actions)
			return
		}
		h.lastHeartbeatAt[in.From] = sim.now
		h.view.PeerRosterVersions[in.From] = max(h.view.PeerRosterVersions[in.From], b.roster)
		if b.roster > h.view.Roster.Version && !sim.scenario.IgnoreAnnouncedRosters {
			sim.schedule(time.Duration(sim.random.IntN(2000))*time.Millisecond, func() { sim.receiveRoster(h, b.roster) })
		}
	})
}

// receiveRoster gives a host a roster, which it uses from its next tick on.
func (sim *simulation) receiveRoster(h *simulatedHost, version pimentospread.ObjectVersion) {
	if !h.dead && version > h.view.Roster.Version {
		h.view.PreviousRoster, h.view.Roster = h.view.Roster, sim.rosters[version-1]
	}
}

// tick sends heartbeats, passes the node a view with the reachable peers, and
// lets it perform the work that is due.
func (sim *simulation) tick(h *simulatedHost, incarnation pimentospread.Incarnation) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	sim.runAt(h, func(now time.Time, actions *dataplane.RequestActions) {
		if h.ticks++; h.ticks%5 == 1 {
			for _, p := range sim.hosts {
				if p != h {
					in := pimentospread.Inbound{From: h.id, Incarnation: h.incarnation, Message: heartbeat{h.view.Roster.Version}}
					sim.deliver(h.index, p.index, func() { sim.receive(p, in) })
				}
			}
		}
		view := *h.view
		view.LiveHosts, view.PeerRosterVersions = nil, request.AnnouncedVersions{}
		for _, p := range sim.hosts {
			if at, ok := h.lastHeartbeatAt[p.id]; p == h || ok && sim.now.Sub(at) < 2*time.Second {
				view.LiveHosts = append(view.LiveHosts, member.Candidate{ID: p.id, FailureDomain: p.domain})
				view.PeerRosterVersions[p.id] = h.view.PeerRosterVersions[p.id]
			}
		}
		view.PeerRosterVersions[h.id] = view.Roster.Version
		h.node.Configure(now, &view, actions)
		h.node.Tick(now, actions)
	})
	sim.schedule(max(simulationTick, h.pausedUntil.Sub(sim.now)), func() { sim.tick(h, incarnation) })
}

// receiveAttempt handles an attempt at its target. The target checks the deadline
// by its own clock, and answers a duplicate like the original.
func (sim *simulation) receiveAttempt(h *simulatedHost, a request.Attempt) {
	t := sim.targets[a.Target-1]
	if answers, seen := t.replies[a.ID]; seen {
		sim.sendAnswers(h, answers)
		return
	}
	if !sim.now.Add(t.skew).Before(a.Deadline) || t.running >= 4 || sim.random.IntN(100) < sim.scenario.ShedPercent {
		t.replies[a.ID] = []request.Answer{{Attempt: a.ID, From: a.Address, Kind: request.Shed}}
		sim.sendAnswers(h, t.replies[a.ID])
		return
	}
	name := strconv.FormatUint(a.Request.Sequence, 10)
	sim.runCounts[name]++
	t.running++
	t.replies[a.ID] = nil
	run, total := sim.runCounts[name], 1+sim.random.IntN(3)
	sim.schedule(time.Duration(sim.random.IntN(600))*time.Millisecond, func() {
		t.running--
		for i := range total {
			t.replies[a.ID] = append(t.replies[a.ID], request.Answer{Attempt: a.ID, From: a.Address, Part: request.Part{
				Number: uint32(i), More: i < total-1, Tag: []byte("t"), Payload: fmt.Appendf(nil, "%s/%d/%d", name, run, total),
			}})
		}
		sim.sendAnswers(h, t.replies[a.ID])
	})
}

func (sim *simulation) sendAnswers(h *simulatedHost, answers []request.Answer) {
	for _, a := range answers {
		sim.deliver(-1, -1, func() {
			sim.runAt(h, func(now time.Time, actions *dataplane.RequestActions) { h.node.HandleAnswer(now, a, actions) })
		})
	}
}

// receiveReply records a reply at its caller. The token identifies the request.
func (sim *simulation) receiveReply(r request.Reply) {
	token := string(r.Origin.Token)
	switch r.Outcome {
	case request.NotRun:
		sim.reportedNotRun[token] = true
	case request.Answered:
		runs := sim.answers[token]
		if runs == nil {
			runs = map[string][]request.Part{}
			sim.answers[token] = runs
		}
		same := func(p request.Part) bool { return p.Number == r.Part.Number }
		if !slices.ContainsFunc(runs[string(r.Part.Tag)], same) {
			runs[string(r.Part.Tag)] = append(runs[string(r.Part.Tag)], r.Part)
		}
	}
}

func frameSize(in pimentospread.Inbound) int {
	frame, err := peer.Encode(in.From, in.Incarnation, in.Message)
	if err != nil {
		panic(err)
	}
	return len(frame)
}
