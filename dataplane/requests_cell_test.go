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
	cellTargets  = 3
	cellLifetime = 4 * time.Second
	cellTick     = 100 * time.Millisecond
)

// node is what a host of the cell runs: the decider or a baseline.
type node interface {
	Configure(now time.Time, view *dataplane.View, actions *dataplane.RequestActions)
	HandleRequest(now time.Time, q request.Request, actions *dataplane.RequestActions)
	HandleAnswer(now time.Time, answer request.Answer, actions *dataplane.RequestActions)
	HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *dataplane.RequestActions)
	Tick(now time.Time, actions *dataplane.RequestActions)
}

// heartbeat stands for the message by which peers hear each other.
type heartbeat struct{ roster pimentospread.ObjectVersion }

func (heartbeat) MessageKind() pimentospread.MessageKind { return "Heartbeat" }

type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].serial, e[j].serial)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cell runs hosts and targets under a fake clock with a faulty network.
type cell struct {
	storm   storm
	now     time.Time
	random  *rand.Rand
	events  events
	serial  int
	hosts   []*cellHost
	targets []*cellTarget
	rosters []member.Roster
	blocked map[[2]int]time.Time
	build   func(c *cell, h *cellHost) node

	// ran, notRun and answers have the caller's token, which names the request, as key.
	ran     map[string]int
	notRun  map[string]bool
	answers map[string]map[string][]request.Part
	control int
}

type cellHost struct {
	index       int
	id          pimentospread.HostID
	domain      pimentospread.FailureDomain
	skew        time.Duration
	incarnation pimentospread.Incarnation
	started     time.Time
	node        node
	dead        bool
	paused      time.Time
	ticks       int
	heard       map[pimentospread.HostID]time.Time
	view        *dataplane.View
}

type cellTarget struct {
	skew time.Duration
	// replies are what the target said to each attempt, and repeats to a copy of it.
	replies map[pimentospread.AttemptID][]request.Answer
	running int
}

func newCell(s storm, build func(*cell, *cellHost) node) *cell {
	c := &cell{
		storm: s, now: start, random: rand.New(rand.NewPCG(s.Seed, 1)), blocked: map[[2]int]time.Time{}, build: build,
		ran: map[string]int{}, notRun: map[string]bool{},
		answers: map[string]map[string][]request.Part{},
	}
	for i := range s.Hosts {
		c.hosts = append(c.hosts, &cellHost{
			index: i, id: pimentospread.HostID(fmt.Sprintf("h%d", i)), skew: c.skew(),
			domain: pimentospread.FailureDomain(fmt.Sprintf("d%d", i%s.Domains)), started: start.Add(-time.Hour),
		})
	}
	for range cellTargets {
		c.targets = append(c.targets, &cellTarget{skew: c.skew(), replies: map[pimentospread.AttemptID][]request.Answer{}})
	}
	c.rosters = []member.Roster{c.roster(c.hosts)}
	for _, h := range c.hosts {
		c.boot(h, c.rosters[0], member.Roster{})
		for _, p := range c.hosts {
			h.heard[p.id], h.view.PeerRosterVersions[p.id] = c.now, 1
		}
	}
	return c
}

func (c *cell) skew() time.Duration { return time.Duration(c.random.IntN(1000)-500) * time.Millisecond }

func (c *cell) roster(hosts []*cellHost) member.Roster {
	r := member.Roster{Version: pimentospread.ObjectVersion(len(c.rosters) + 1)}
	for _, h := range hosts {
		r.Hosts = append(r.Hosts, member.Host{ID: h.id, FailureDomain: h.domain, State: member.Live})
	}
	return r
}

// boot starts a new run of a host, which knows nothing of its earlier ones.
func (c *cell) boot(h *cellHost, roster, previous member.Roster) {
	h.incarnation++
	h.dead, h.ticks, h.heard = false, 0, map[pimentospread.HostID]time.Time{}
	h.view = deskView(cellTargets)
	h.view.Services[deskID].Policy.MaxLifetime.Duration = cellLifetime
	h.view.Self, h.view.Incarnation, h.view.Roster, h.view.PreviousRoster = h.id, h.incarnation, roster, previous
	h.view.PeerRosterVersions = request.AnnouncedVersions{}
	h.node = c.build(c, h)
	c.tick(h, h.incarnation)
}

func (c *cell) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now.Add(d), serial: c.serial, run: run})
}

func (c *cell) run(length time.Duration) {
	for end := c.now.Add(length); len(c.events) > 0 && !c.events[0].at.After(end); {
		e, _ := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// at lets a host act at its own time, after its pause when it is paused.
func (c *cell) at(h *cellHost, act func(now time.Time, actions *dataplane.RequestActions)) {
	if h.dead {
		return
	}
	if c.now.Before(h.paused) {
		c.after(h.paused.Sub(c.now)+time.Duration(c.random.IntN(20))*time.Millisecond, func() { c.at(h, act) })
		return
	}
	actions := &dataplane.RequestActions{}
	act(c.now.Add(h.skew), actions)
	for _, a := range actions.Attempts {
		c.deliver(-1, -1, func() { c.attempt(h, a) })
	}
	for _, p := range actions.PeerMessages {
		c.send(h, p)
	}
	for _, r := range actions.Replies {
		c.reply(r)
	}
}

// deliver carries a message over the network: late, twice or not at all. Only
// peers have an index by which a partition cuts them off.
func (c *cell) deliver(from, to int, arrive func()) {
	copies := 1
	if c.random.IntN(100) < c.storm.Duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+c.random.IntN(20)) * time.Millisecond
		if c.random.IntN(100) < c.storm.Slow {
			delay = time.Duration(c.random.IntN(int(cellLifetime * 3 / 2)))
		}
		if c.now.Before(c.blocked[[2]int{from, to}]) || c.random.IntN(100) < c.storm.Loss {
			continue
		}
		c.after(delay, arrive)
	}
}

func (c *cell) send(h *cellHost, out pimentospread.Outbound) {
	in := pimentospread.Inbound{From: h.id, Incarnation: h.incarnation, Message: out.Message}
	for _, to := range c.hosts {
		if to.id == out.To {
			c.control += frameSize(in)
			c.deliver(h.index, to.index, func() { c.receive(to, in) })
		}
	}
}

func (c *cell) receive(h *cellHost, in pimentospread.Inbound) {
	c.at(h, func(now time.Time, actions *dataplane.RequestActions) {
		b, beats := in.Message.(heartbeat)
		if !beats {
			h.node.HandlePeerMessage(now, in, actions)
			return
		}
		h.heard[in.From] = c.now
		h.view.PeerRosterVersions[in.From] = max(h.view.PeerRosterVersions[in.From], b.roster)
		if b.roster > h.view.Roster.Version && !c.storm.Deaf {
			c.after(time.Duration(c.random.IntN(2000))*time.Millisecond, func() { c.learn(h, b.roster) })
		}
	})
}

// learn gives a host a roster, which it uses from its next tick on.
func (c *cell) learn(h *cellHost, version pimentospread.ObjectVersion) {
	if !h.dead && version > h.view.Roster.Version {
		h.view.PreviousRoster, h.view.Roster = h.view.Roster, c.rosters[version-1]
	}
}

// tick sends heartbeats, tells the node who is heard, and lets it do what is due.
func (c *cell) tick(h *cellHost, incarnation pimentospread.Incarnation) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	c.at(h, func(now time.Time, actions *dataplane.RequestActions) {
		if h.ticks++; h.ticks%5 == 1 {
			for _, p := range c.hosts {
				if p != h {
					in := pimentospread.Inbound{From: h.id, Incarnation: h.incarnation, Message: heartbeat{h.view.Roster.Version}}
					c.deliver(h.index, p.index, func() { c.receive(p, in) })
				}
			}
		}
		view := *h.view
		view.LiveHosts, view.PeerRosterVersions = nil, request.AnnouncedVersions{}
		for _, p := range c.hosts {
			if at, ok := h.heard[p.id]; p == h || ok && c.now.Sub(at) < 2*time.Second {
				view.LiveHosts = append(view.LiveHosts, member.Candidate{ID: p.id, FailureDomain: p.domain})
				view.PeerRosterVersions[p.id] = h.view.PeerRosterVersions[p.id]
			}
		}
		view.PeerRosterVersions[h.id] = view.Roster.Version
		h.node.Configure(now, &view, actions)
		h.node.Tick(now, actions)
	})
	c.after(max(cellTick, h.paused.Sub(c.now)), func() { c.tick(h, incarnation) })
}

// attempt reaches its target, which keeps to its own clock and answers a copy as it did the original.
func (c *cell) attempt(h *cellHost, a request.Attempt) {
	t := c.targets[a.Target-1]
	if said, seen := t.replies[a.ID]; seen {
		c.answer(h, said)
		return
	}
	if !c.now.Add(t.skew).Before(a.Deadline) || t.running >= 4 || c.random.IntN(100) < c.storm.Shed {
		t.replies[a.ID] = []request.Answer{{Attempt: a.ID, From: a.Address, Kind: request.Shed}}
		c.answer(h, t.replies[a.ID])
		return
	}
	name := strconv.FormatUint(a.Request.Sequence, 10)
	c.ran[name]++
	t.running++
	t.replies[a.ID] = nil
	run, total := c.ran[name], 1+c.random.IntN(3)
	c.after(time.Duration(c.random.IntN(600))*time.Millisecond, func() {
		t.running--
		for i := range total {
			t.replies[a.ID] = append(t.replies[a.ID], request.Answer{Attempt: a.ID, From: a.Address, Part: request.Part{
				Number: uint32(i), More: i < total-1, Tag: []byte("t"), Payload: fmt.Appendf(nil, "%s/%d/%d", name, run, total),
			}})
		}
		c.answer(h, t.replies[a.ID])
	})
}

func (c *cell) answer(h *cellHost, answers []request.Answer) {
	for _, a := range answers {
		c.deliver(-1, -1, func() {
			c.at(h, func(now time.Time, actions *dataplane.RequestActions) { h.node.HandleAnswer(now, a, actions) })
		})
	}
}

// reply is what a caller gets. The token names the request.
func (c *cell) reply(r request.Reply) {
	token := string(r.Origin.Token)
	switch r.Outcome {
	case request.NotRun:
		c.notRun[token] = true
	case request.Answered:
		runs := c.answers[token]
		if runs == nil {
			runs = map[string][]request.Part{}
			c.answers[token] = runs
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
