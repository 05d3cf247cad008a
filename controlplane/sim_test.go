package controlplane_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
)

const workers = 2

// sim simulates the hosts of a cell with a fake clock, network and platform.
type sim struct {
	now      time.Time
	queue    timers
	random   *rand.Rand
	hosts    []*simHost
	byID     map[pimentospread.HostID]*simHost
	platform simPlatform
	// lossRate is the share of messages that are lost.
	lossRate float64
	// partitions assigns failure domains to sides of a network partition. Domains on
	// different sides cannot reach each other; the platform is on side 0.
	partitions map[pimentospread.FailureDomain]int
	// lastFaultAt is the time of the last fault or repair of a host, the network or the platform.
	lastFaultAt  time.Time
	probeResults map[pimentospread.TargetID]controlplane.TargetProbed
	bytesByKind  map[pimentospread.MessageKind]int
	// seeds are the hosts in the settings of a starting host.
	seeds []member.Host
	fail  func(format string, args ...any)
}

// simHost is one host. Each restart creates a new cell.
type simHost struct {
	sim         *sim
	self        member.Host
	cell        *controlplane.Cell
	incarnation pimentospread.Incarnation
	paused      bool
	// stableSince is the time of the last start, resumption or change of the partition, after
	// which other hosts may not have detected this host yet.
	stableSince, startedAt time.Time
	view                   *dataplane.View
	// loadedViews are the views that the workers have loaded.
	loadedViews [workers]*dataplane.View
	// highestServed is the highest generation in the views of all incarnations.
	highestServed pimentospread.Generation
	// buffered are the events that arrived during a pause.
	buffered []controlplane.Event
	watches  map[pimentospread.ObjectKind]*simWatch
	wasReady bool
}

type timer struct {
	at    time.Time
	order int
	run   func()
}

type timers struct {
	items []timer
	order int
}

func (q *timers) Len() int { return len(q.items) }
func (q *timers) Less(i, j int) bool {
	if !q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].at.Before(q.items[j].at)
	}
	return q.items[i].order < q.items[j].order
}
func (q *timers) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *timers) Push(x any)    { q.items = append(q.items, x.(timer)) }
func (q *timers) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func newSim(seed uint64, hosts, domains int, fail func(string, ...any)) *sim {
	s := &sim{
		now:          time.Unix(1_700_000_000, 0),
		random:       rand.New(rand.NewPCG(seed, 1)),
		byID:         map[pimentospread.HostID]*simHost{},
		partitions:   map[pimentospread.FailureDomain]int{},
		probeResults: map[pimentospread.TargetID]controlplane.TargetProbed{},
		bytesByKind:  map[pimentospread.MessageKind]int{},
		fail:         fail,
	}
	s.platform = simPlatform{sim: s, available: true, latency: 5 * time.Millisecond}
	for i := range hosts {
		h := &simHost{sim: s, self: member.Host{
			ID:            pimentospread.HostID(fmt.Sprintf("north-high-%02d", i)),
			FailureDomain: pimentospread.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			PeerAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000),
			State:         member.Live,
		}}
		s.hosts = append(s.hosts, h)
		s.seeds = append(s.seeds, h.self)
		s.byID[h.self.ID] = h
	}
	s.platform.setRoster(s.hosts)
	s.platform.publish()
	for _, h := range s.hosts {
		h.start()
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue.order++
	heap.Push(&s.queue, timer{s.now.Add(d), s.queue.order, run})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && !s.queue.items[0].at.After(end) {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

func (s *sim) connected(a, b *simHost) bool {
	return s.partitions[a.self.FailureDomain] == s.partitions[b.self.FailureDomain]
}

// setSide moves a failure domain to a side of the network partition. The platform is on side 0.
func (s *sim) setSide(d pimentospread.FailureDomain, side int) {
	s.partitions[d] = side
	s.lastFaultAt = s.now
	for _, h := range s.hosts {
		h.stableSince = s.now
	}
	s.platform.dropConnections()
}

func (s *sim) networkDelay() time.Duration {
	return time.Millisecond + time.Duration(s.random.Int64N(int64(20*time.Millisecond)))
}

func (s *sim) send(from *simHost, m pimentospread.Outbound) {
	to, ok := s.byID[m.To]
	if !ok {
		return
	}
	s.countBytes(from, m.Message)
	if s.random.Float64() < s.lossRate {
		return
	}
	incarnation, cell := from.incarnation, to.cell
	s.after(s.networkDelay(), func() {
		if cell == nil || to.cell != cell || !s.connected(from, to) {
			return
		}
		switch b := m.Message.(type) {
		case *member.Heartbeat:
			to.handle(controlplane.HeartbeatReceived{From: from.self.ID, Incarnation: incarnation, Heartbeat: *b})
		case *controlplane.ReleaseQuery:
			to.handle(controlplane.QueryReceived{From: from.self.ID, Query: *b})
		case *controlplane.ReleaseReply:
			e := controlplane.ReplyReceived{From: from.self.ID, Reply: *b}
			if len(b.Content) > 0 {
				e.PackedRelease = s.unpack(b.Content)
			}
			to.handle(e)
		}
	})
}

func (s *sim) unpack(packed []byte) *controlplane.PackedRelease {
	c, err := controlplane.Unpack(packed, decodeRelease)
	if err != nil {
		s.fail("unpack: %v", err)
	}
	return c
}

func (h *simHost) start() {
	s := h.sim
	h.incarnation = pimentospread.Incarnation(s.now.UnixNano())
	h.stableSince, h.startedAt, s.lastFaultAt = s.now, s.now, s.now
	h.paused, h.view, h.buffered, h.wasReady = false, nil, nil, false
	h.loadedViews = [workers]*dataplane.View{}
	h.watches = map[pimentospread.ObjectKind]*simWatch{}
	cell := controlplane.NewCell(s.now, controlplane.Config{Self: h.self, Incarnation: h.incarnation, Seeds: s.seeds, Workers: workers})
	h.cell = cell
	var tick func()
	tick = func() {
		if h.cell != cell {
			return
		}
		if !h.paused {
			h.handle(controlplane.Tick{})
		}
		s.after(member.HeartbeatInterval, tick)
	}
	s.after(s.networkDelay()*10, tick)
}

func (h *simHost) kill() {
	h.cell, h.view = nil, nil
	h.sim.lastFaultAt = h.sim.now
}

func (h *simHost) pause() { h.paused, h.sim.lastFaultAt = true, h.sim.now }

func (h *simHost) resume() {
	h.paused, h.stableSince, h.sim.lastFaultAt = false, h.sim.now, h.sim.now
	kept := h.buffered
	h.buffered = nil
	// After a pause the ticker fires at once, before the events that wait in the rings.
	h.handle(controlplane.Tick{})
	for _, e := range kept {
		h.handle(e)
	}
}

// handleAfter delivers an event after a delay unless the host was restarted.
func (h *simHost) handleAfter(d time.Duration, e controlplane.Event) {
	cell := h.cell
	h.sim.after(d, func() {
		if h.cell == cell {
			h.handle(e)
		}
	})
}

func (h *simHost) handle(e controlplane.Event) {
	if h.paused {
		h.buffered = append(h.buffered, e)
		return
	}
	before := h.cell.ActiveGeneration()
	a := h.cell.Handle(h.sim.now, e)
	h.check(before)
	for _, m := range a.Messages {
		h.sim.send(h, m)
	}
	if a.Build != nil {
		h.handleAfter(50*time.Millisecond, a.Build.Run())
	}
	if a.View != nil {
		h.applyView(a.View)
	}
	for _, t := range a.Probes {
		h.handleAfter(5*time.Millisecond, h.sim.probe(t))
	}
	if a.ReadPlatform {
		h.sim.platform.read(h)
	}
	if a.Watch != nil {
		h.sim.platform.watch(h, a.Watch.On)
	}
}

func (h *simHost) applyView(v *dataplane.View) {
	if h.view != nil && v.Generation() < h.view.Generation() {
		h.sim.fail("%s: generation of the view decreased from %d to %d", h.self.ID, h.view.Generation(), v.Generation())
	}
	h.checkAvoided(v)
	h.view = v
	h.highestServed = max(h.highestServed, v.Generation())
	for d := range workers {
		cell := h.cell
		h.sim.after(h.sim.networkDelay()*3, func() {
			// A ring keeps the order and only its newest view is used, so skip outdated views.
			if h.cell == cell && (h.loadedViews[d] == nil || h.loadedViews[d].Sequence < v.Sequence) {
				h.loadedViews[d] = v
				h.handle(controlplane.ViewLoaded{Worker: d, Sequence: v.Sequence, Prepared: v.Generation()})
			}
		})
	}
}

func (s *sim) probe(t pool.Target) controlplane.TargetProbed {
	if p, ok := s.probeResults[t.ID]; ok {
		return p
	}
	return controlplane.TargetProbed{Target: t.ID, Answered: true, Report: pimentospread.LoadReport{Healthy: true}}
}

func decodeRelease(data []byte) (*release.Release, error) {
	var r release.Release
	err := json.Unmarshal(data, &r)
	return &r, err
}

// newRelease returns a small release, because these tests do not depend on the tables.
func newRelease(g pimentospread.Generation, targets int) *release.Release {
	p := pool.Pool{Name: "watchdesk"}
	var members []pimentospread.TargetID
	for i := range targets {
		id := pimentospread.TargetID(i + 1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 8000)
		p.Targets = append(p.Targets, pool.Target{
			ID: id, Name: pimentospread.TargetName(fmt.Sprintf("watchdesk-%02d", i)), FlowAddress: address,
			RequestAddress: address, HealthAddress: address, FailureDomain: "doi-ang", Slots: 3, Connections: 2000,
		})
		members = append(members, id)
	}
	p.Epochs = []pool.Epoch{{Members: members}}
	q := policy.Defaults()
	q.Name = "feed"
	v := service.Service{ID: 1, Name: "watchdesk", Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.2.1:443")}, Pool: "watchdesk", Policy: "feed"}
	set := release.Set{Services: []service.Service{v}, TargetPools: []pool.Pool{p}, Policies: []policy.Policy{q}}
	return &release.Release{Generation: g, PublishID: pimentospread.PublishID(fmt.Sprint(g)), Seed: 7, Set: set}
}
