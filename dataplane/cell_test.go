package dataplane

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
)

const (
	cellStep = 10 * time.Millisecond
	cellIdle = 8 * time.Second
	// maxDelay is the longest way of a packet or message.
	maxDelay = 30 * time.Millisecond
	deadTime = 2 * time.Second
	// lossOneIn packets are lost, so that callers repeat the SYN.
	lossOneIn = 15
)

// steerer is what a cell drives: Flows, or a baseline without records.
type steerer interface {
	Configure(time.Time, *View, *FlowActions)
	HandlePacket(time.Time, flow.Packet, []byte, *FlowActions)
	HandlePeerMessage(time.Time, pimentospread.Inbound, *FlowActions)
	Tick(time.Time, *FlowActions)
	StartHandover(time.Time, *FlowActions)
	HandoverDone() bool
	Prepared() bool
}

// cell is a fake of hosts, message network, callers and targets under one clock.
type cell struct {
	rng *rand.Rand
	// beat is the longest time until a peer hears of a change at a host.
	beat     time.Duration
	now      time.Time
	events   eventHeap
	sequence int
	newHost  func() steerer
	hosts    []*fakeHost
	releases []*View
	calls    []*call
	// open counts the connections of each target, by the call's index.
	flagged map[pimentospread.TargetID]bool
	nextID  pimentospread.TargetID
	foreign int
	bytes   int
	count   func(pimentospread.Outbound) int
}

type fakeHost struct {
	id         pimentospread.HostID
	domain     pimentospread.FailureDomain
	steer      steerer
	actions    FlowActions
	up, ready  bool
	leaving    bool
	pausedTill time.Time
	queue      []func()
	view       *View
	live       map[*fakeHost]bool
	prepared   map[*fakeHost]pimentospread.Generation
	flags      map[*fakeHost]map[pimentospread.TargetID]bool
}

// call is one connection as its caller and the targets see it.
type call struct {
	packet      flow.Packet
	target      pimentospread.TargetID
	established bool
	half        map[pimentospread.TargetID]bool
	broken      bool
	reached     int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any     { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

func newCell(seed uint64, hosts int, newHost func() steerer) *cell {
	c := &cell{rng: rand.New(rand.NewPCG(seed, 1)), beat: []time.Duration{50 * time.Millisecond, 500 * time.Millisecond}[seed%2], now: time.Unix(1_000_000, 0), newHost: newHost, flagged: map[pimentospread.TargetID]bool{}, nextID: 1}
	pools := []pool.Pool{{Name: "first"}, {Name: "second"}}
	for i, n := range []int{5, 3} {
		for range n {
			pools[i].Targets = append(pools[i].Targets, c.target())
		}
		pools[i].Epochs = pool.NextEpochs(nil, pools[i], c.now, cellIdle)
		pools[i].Epochs[0].Buckets = 4096 // Keeps the tables of the test small.
	}
	c.publish(pools)
	for range hosts {
		c.join()
	}
	for _, h := range c.hosts {
		h.ready = true
		for _, o := range c.hosts {
			h.live[o], h.prepared[o] = true, 1
		}
		c.configure(h)
	}
	return c
}

func (c *cell) target() pool.Target {
	c.nextID++
	return pool.Target{ID: c.nextID, State: pool.Active, Connections: 1 << 20, FlowAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(c.nextID)}), 4789)}
}

// publish makes a release of two services; each host hears of it after its own delay.
func (c *cell) publish(pools []pool.Pool) {
	v := &View{
		Release:          &release.Release{Generation: pimentospread.Generation(len(c.releases) + 1), PublishedAt: c.now, NextTargetID: c.nextID + 1},
		Services:         map[pimentospread.ServiceID]*ServiceView{},
		ServiceByAddress: map[netip.AddrPort]pimentospread.ServiceID{},
	}
	for i, p := range pools {
		id := pimentospread.ServiceID(i + 1)
		v.Services[id] = &ServiceView{
			Service: service.Service{ID: id}, Pool: p, Table: pool.NewTable(p, 7),
			Policy: policy.Policy{IdleTimeout: pimentospread.Duration{Duration: cellIdle}, SilenceAfter: pimentospread.Duration{Duration: time.Hour}},
		}
		v.ServiceByAddress[serviceAddress(id)] = id
	}
	c.releases = append(c.releases, v)
	for _, h := range c.hosts {
		c.at(c.delay(time.Second), h, func() { c.take(h, v) })
	}
}

func serviceAddress(id pimentospread.ServiceID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(id)}), 443)
}

func (c *cell) newest() *View { return c.releases[len(c.releases)-1] }

func (c *cell) pools() []pool.Pool {
	var pools []pool.Pool
	for id := pimentospread.ServiceID(1); id <= 2; id++ {
		p := c.newest().Services[id].Pool
		p.Targets = slices.Clone(p.Targets)
		pools = append(pools, p)
	}
	return pools
}

// change publishes the pools with their next epochs.
func (c *cell) change(pools []pool.Pool) {
	for i := range pools {
		old := c.newest().Services[pimentospread.ServiceID(i+1)].Pool
		pools[i].Epochs = pool.NextEpochs(&old, pools[i], c.now, cellIdle)
	}
	c.publish(pools)
}

// at runs something at a host, later if the host is paused and never if it is down.
func (c *cell) at(delay time.Duration, h *fakeHost, run func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now.Add(delay), c.sequence, func() {
		switch {
		case h == nil:
			run()
		case !h.up:
		case c.now.Before(h.pausedTill):
			h.queue = append(h.queue, run)
		default:
			run()
			c.act(h)
		}
	}})
}

func (c *cell) delay(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

func (c *cell) join() *fakeHost {
	n := len(c.hosts)
	h := &fakeHost{
		id: pimentospread.HostID(fmt.Sprintf("host-%02d", n)), domain: pimentospread.FailureDomain(fmt.Sprintf("domain-%d", n%3)),
		steer: c.newHost(), up: true, live: map[*fakeHost]bool{}, prepared: map[*fakeHost]pimentospread.Generation{},
		flags: map[*fakeHost]map[pimentospread.TargetID]bool{}, view: c.newest(),
	}
	c.hosts = append(c.hosts, h)
	return h
}

// start makes a joined host known: it hears its peers first, then they hear it, then packets come.
func (c *cell) start(h *fakeHost) {
	for _, o := range c.hosts {
		if o.up && !o.leaving {
			h.live[o], h.prepared[o] = true, o.view.Generation()
			c.at(c.delay(c.beat), o, func() { o.live[h] = true; c.configure(o) })
		}
	}
	c.configure(h)
	c.at(600*time.Millisecond, h, func() { h.ready = true })
}

func (c *cell) die(h *fakeHost) {
	h.up = false
	c.at(deadTime, nil, func() { h.ready = false })
	c.forgetHost(h, deadTime)
}

func (c *cell) leave(h *fakeHost) {
	h.leaving = true
	c.at(0, h, func() { h.steer.StartHandover(c.now, &h.actions) })
	c.forgetHost(h, 0)
	c.at(700*time.Millisecond, h, func() { h.ready = false })
}

func (c *cell) forgetHost(h *fakeHost, after time.Duration) {
	for _, o := range c.hosts {
		c.at(after+c.delay(c.beat), o, func() { delete(o.live, h); c.configure(o) })
	}
}

func (c *cell) pause(h *fakeHost, d time.Duration) {
	h.pausedTill = c.now.Add(d)
	if d > deadTime {
		for _, o := range c.hosts {
			if o != h {
				c.at(deadTime+c.delay(200*time.Millisecond), o, func() { delete(o.live, h); c.configure(o) })
				c.at(d+c.delay(c.beat), o, func() { o.live[h] = h.up && !h.leaving; c.configure(o) })
			}
		}
	}
	c.at(d, nil, func() {
		queue := h.queue
		h.queue = nil
		for _, run := range queue {
			run()
			c.act(h)
		}
	})
}

// take gives a host a release if it is newer.
func (c *cell) take(h *fakeHost, v *View) {
	if v.Generation() <= h.view.Generation() {
		return
	}
	h.view = v
	c.configure(h)
}

// configure makes the host's view of the cell and of who has prepared what.
func (c *cell) configure(h *fakeHost) {
	v := *h.view
	v.Self, v.Active, v.Flagged, v.Avoided = h.id, true, map[pimentospread.TargetID]bool{}, map[pimentospread.TargetID]bool{}
	h.prepared[h], h.flags[h] = h.view.Generation(), c.flagged
	for _, o := range c.hosts {
		if o == h && (!h.up || h.leaving) || o != h && !h.live[o] {
			continue
		}
		v.LiveHosts = append(v.LiveHosts, member.Candidate{ID: o.id, FailureDomain: o.domain})
		v.Active = v.Active && h.prepared[o] >= h.view.Generation()
	}
	for t := range c.flagged {
		v.Flagged[t], v.Avoided[t] = true, true
		for o := range h.live {
			if h.live[o] && !h.flags[o][t] && o != h {
				delete(v.Avoided, t)
			}
		}
	}
	h.steer.Configure(c.now, &v, &h.actions)
	c.act(h)
	c.tell(h, v.Generation(), c.flagged)
}

// tell announces a host's generation and flags once the host is prepared.
func (c *cell) tell(h *fakeHost, g pimentospread.Generation, flags map[pimentospread.TargetID]bool) {
	if !h.steer.Prepared() {
		c.at(cellStep, h, func() { c.tell(h, g, flags) })
		return
	}
	for _, o := range c.hosts {
		if o == h {
			continue
		}
		c.at(c.delay(c.beat), o, func() {
			if o.prepared[h] < g || len(o.flags[h]) != len(flags) {
				o.prepared[h], o.flags[h] = max(o.prepared[h], g), flags
				c.configure(o)
			}
		})
	}
}

// flag sets the targets that every host sees as down, each after its own delay.
func (c *cell) flag(flags map[pimentospread.TargetID]bool) {
	c.flagged = flags
	for _, h := range c.hosts {
		c.at(c.delay(c.beat), h, func() { c.configure(h) })
	}
}

// act carries out what a host wants done.
func (c *cell) act(h *fakeHost) {
	for _, x := range h.actions.Forwards {
		c.at(c.delay(maxDelay), nil, func() { c.atTarget(x) })
	}
	for _, x := range h.actions.Deliveries {
		k := c.calls[binary.BigEndian.Uint32(x.Packet)]
		from := pimentospread.TargetID(binary.BigEndian.Uint32(x.Packet[4:]))
		c.at(c.delay(maxDelay), nil, func() {
			if !k.established {
				k.established, k.target = true, from
			}
		})
	}
	for _, x := range h.actions.PeerMessages {
		if c.count != nil {
			c.bytes += c.count(x)
		}
		for _, o := range c.hosts {
			if o.id == x.To {
				c.at(c.delay(maxDelay), o, func() {
					o.steer.HandlePeerMessage(c.now, pimentospread.Inbound{From: h.id, Message: x.Message}, &o.actions)
				})
			}
		}
	}
	h.actions.Clear()
}
