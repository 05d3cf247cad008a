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
	simulationStep        = 10 * time.Millisecond
	simulationIdleTimeout = 8 * time.Second
	// maxDelay is the longest transmission time of a packet or message.
	maxDelay            = 30 * time.Millisecond
	deathDetectionDelay = 2 * time.Second
	// lossDivisor is the number of packets of which one is lost on average, so that callers retransmit the SYN.
	lossDivisor = 15
)

// flowSteerer is the part of a host that the simulation runs: a FlowShard, or a
// baseline without records.
type flowSteerer interface {
	Configure(time.Time, *View, *FlowActions)
	HandlePacket(time.Time, flow.Packet, []byte, *FlowActions)
	HandlePeerMessage(time.Time, pimentospread.Inbound, *FlowActions)
	Tick(time.Time, *FlowActions)
	StartHandover(time.Time, *FlowActions)
	HandoverDone() bool
	Prepared() bool
}

// simulation simulates hosts, the network between them, callers and targets under one clock.
type simulation struct {
	rng *rand.Rand
	// maxHeartbeatDelay is the longest time until a peer is informed of a change at a host.
	maxHeartbeatDelay time.Duration
	now               time.Time
	events            eventHeap
	sequence          int
	newHost           func() flowSteerer
	hosts             []*simulatedHost
	releases          []*View
	connections       []*connection
	// flaggedTargets are the targets that the hosts see as down.
	flaggedTargets map[pimentospread.TargetID]bool
	lastTargetID   pimentospread.TargetID
	misdirected    int
	bytes          int
	messageSize    func(pimentospread.Outbound) int
}

type simulatedHost struct {
	id          pimentospread.HostID
	domain      pimentospread.FailureDomain
	steerer     flowSteerer
	actions     FlowActions
	up, ready   bool
	leaving     bool
	pausedUntil time.Time
	heldEvents  []func()
	view        *View
	live        map[*simulatedHost]bool
	prepared    map[*simulatedHost]pimentospread.Generation
	flags       map[*simulatedHost]map[pimentospread.TargetID]bool
}

// connection is the state of one connection at its caller and at the targets.
type connection struct {
	packet          flow.Packet
	target          pimentospread.TargetID
	established     bool
	acceptedBy      map[pimentospread.TargetID]bool
	broken          bool
	packetsReceived int
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

func newSimulation(seed uint64, hosts int, newHost func() flowSteerer) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), maxHeartbeatDelay: []time.Duration{50 * time.Millisecond, 500 * time.Millisecond}[seed%2], now: time.Unix(1_000_000, 0), newHost: newHost, flaggedTargets: map[pimentospread.TargetID]bool{}, lastTargetID: 1}
	pools := []pool.Pool{{Name: "first"}, {Name: "second"}}
	for i, n := range []int{5, 3} {
		for range n {
			pools[i].Targets = append(pools[i].Targets, sim.newTarget())
		}
		pools[i].Epochs = pool.NextEpochs(nil, pools[i], sim.now, simulationIdleTimeout)
		pools[i].Epochs[0].Buckets = 4096 // Keeps the tables of the test small.
	}
	sim.publish(pools)
	for range hosts {
		sim.addHost()
	}
	for _, h := range sim.hosts {
		h.ready = true
		for _, o := range sim.hosts {
			h.live[o], h.prepared[o] = true, 1
		}
		sim.configure(h)
	}
	return sim
}

func (sim *simulation) newTarget() pool.Target {
	sim.lastTargetID++
	return pool.Target{ID: sim.lastTargetID, State: pool.Active, Connections: 1 << 20, FlowAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(sim.lastTargetID)}), 4789)}
}

// publish makes a release of two services. Each host receives it after its own delay.
func (sim *simulation) publish(pools []pool.Pool) {
	v := &View{
		Release:          &release.Release{Generation: pimentospread.Generation(len(sim.releases) + 1), PublishedAt: sim.now, NextTargetID: sim.lastTargetID + 1},
		Services:         map[pimentospread.ServiceID]*ServiceView{},
		ServiceByAddress: map[netip.AddrPort]pimentospread.ServiceID{},
	}
	for i, p := range pools {
		id := pimentospread.ServiceID(i + 1)
		v.Services[id] = &ServiceView{
			Service: service.Service{ID: id}, Pool: p, Table: pool.NewTable(p, 7),
			Policy: policy.Policy{IdleTimeout: pimentospread.Duration{Duration: simulationIdleTimeout}, SilenceAfter: pimentospread.Duration{Duration: time.Hour}},
		}
		v.ServiceByAddress[serviceAddress(id)] = id
	}
	sim.releases = append(sim.releases, v)
	for _, h := range sim.hosts {
		sim.schedule(sim.delay(time.Second), h, func() { sim.receiveRelease(h, v) })
	}
}

func serviceAddress(id pimentospread.ServiceID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(id)}), 443)
}

func (sim *simulation) latestRelease() *View { return sim.releases[len(sim.releases)-1] }

func (sim *simulation) pools() []pool.Pool {
	var pools []pool.Pool
	for id := pimentospread.ServiceID(1); id <= 2; id++ {
		p := sim.latestRelease().Services[id].Pool
		p.Targets = slices.Clone(p.Targets)
		pools = append(pools, p)
	}
	return pools
}

// publishNextEpochs publishes the pools with their next epochs.
func (sim *simulation) publishNextEpochs(pools []pool.Pool) {
	for i := range pools {
		old := sim.latestRelease().Services[pimentospread.ServiceID(i+1)].Pool
		pools[i].Epochs = pool.NextEpochs(&old, pools[i], sim.now, simulationIdleTimeout)
	}
	sim.publish(pools)
}

// schedule calls run after the delay. If a host is given, the call waits until
// the end of its pause, and is omitted if the host is down.
func (sim *simulation) schedule(delay time.Duration, h *simulatedHost, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(delay), sim.sequence, func() {
		switch {
		case h == nil:
			run()
		case !h.up:
		case sim.now.Before(h.pausedUntil):
			h.heldEvents = append(h.heldEvents, run)
		default:
			run()
			sim.carryOut(h)
		}
	}})
}

func (sim *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

func (sim *simulation) addHost() *simulatedHost {
	n := len(sim.hosts)
	h := &simulatedHost{
		id: pimentospread.HostID(fmt.Sprintf("host-%02d", n)), domain: pimentospread.FailureDomain(fmt.Sprintf("domain-%d", n%3)),
		steerer: sim.newHost(), up: true, live: map[*simulatedHost]bool{}, prepared: map[*simulatedHost]pimentospread.Generation{},
		flags: map[*simulatedHost]map[pimentospread.TargetID]bool{}, view: sim.latestRelease(),
	}
	sim.hosts = append(sim.hosts, h)
	return h
}

// startHost makes an added host known: first it receives messages from its peers,
// then they receive its messages, and then packets reach it.
func (sim *simulation) startHost(h *simulatedHost) {
	for _, o := range sim.hosts {
		if o.up && !o.leaving {
			h.live[o], h.prepared[o] = true, o.view.Generation()
			sim.schedule(sim.delay(sim.maxHeartbeatDelay), o, func() { o.live[h] = true; sim.configure(o) })
		}
	}
	sim.configure(h)
	sim.schedule(600*time.Millisecond, h, func() { h.ready = true })
}

func (sim *simulation) killHost(h *simulatedHost) {
	h.up = false
	sim.schedule(deathDetectionDelay, nil, func() { h.ready = false })
	sim.removeHost(h, deathDetectionDelay)
}

func (sim *simulation) startLeaving(h *simulatedHost) {
	h.leaving = true
	sim.schedule(0, h, func() { h.steerer.StartHandover(sim.now, &h.actions) })
	sim.removeHost(h, 0)
	sim.schedule(700*time.Millisecond, h, func() { h.ready = false })
}

func (sim *simulation) removeHost(h *simulatedHost, after time.Duration) {
	for _, o := range sim.hosts {
		sim.schedule(after+sim.delay(sim.maxHeartbeatDelay), o, func() { delete(o.live, h); sim.configure(o) })
	}
}

func (sim *simulation) pauseHost(h *simulatedHost, d time.Duration) {
	h.pausedUntil = sim.now.Add(d)
	if d > deathDetectionDelay {
		for _, o := range sim.hosts {
			if o != h {
				sim.schedule(deathDetectionDelay+sim.delay(200*time.Millisecond), o, func() { delete(o.live, h); sim.configure(o) })
				sim.schedule(d+sim.delay(sim.maxHeartbeatDelay), o, func() { o.live[h] = h.up && !h.leaving; sim.configure(o) })
			}
		}
	}
	sim.schedule(d, nil, func() {
		queue := h.heldEvents
		h.heldEvents = nil
		for _, run := range queue {
			run()
			sim.carryOut(h)
		}
	})
}

// receiveRelease gives a host a release if it is newer than the host's own.
func (sim *simulation) receiveRelease(h *simulatedHost, v *View) {
	if v.Generation() <= h.view.Generation() {
		return
	}
	h.view = v
	sim.configure(h)
}

// configure builds the host's view from the live hosts, their prepared
// generations and the flagged targets, and passes it to the host.
func (sim *simulation) configure(h *simulatedHost) {
	v := *h.view
	v.Self, v.Active, v.Flagged, v.Avoided = h.id, true, map[pimentospread.TargetID]bool{}, map[pimentospread.TargetID]bool{}
	h.prepared[h], h.flags[h] = h.view.Generation(), sim.flaggedTargets
	for _, o := range sim.hosts {
		if o == h && (!h.up || h.leaving) || o != h && !h.live[o] {
			continue
		}
		v.LiveHosts = append(v.LiveHosts, member.Candidate{ID: o.id, FailureDomain: o.domain})
		v.Active = v.Active && h.prepared[o] >= h.view.Generation()
	}
	for t := range sim.flaggedTargets {
		v.Flagged[t], v.Avoided[t] = true, true
		for o := range h.live {
			if h.live[o] && !h.flags[o][t] && o != h {
				delete(v.Avoided, t)
			}
		}
	}
	h.steerer.Configure(sim.now, &v, &h.actions)
	sim.carryOut(h)
	sim.announcePrepared(h, v.Generation(), sim.flaggedTargets)
}

// announcePrepared announces a host's generation and flags to its peers once the host is prepared.
func (sim *simulation) announcePrepared(h *simulatedHost, g pimentospread.Generation, flags map[pimentospread.TargetID]bool) {
	if !h.steerer.Prepared() {
		sim.schedule(simulationStep, h, func() { sim.announcePrepared(h, g, flags) })
		return
	}
	for _, o := range sim.hosts {
		if o == h {
			continue
		}
		sim.schedule(sim.delay(sim.maxHeartbeatDelay), o, func() {
			if o.prepared[h] < g || len(o.flags[h]) != len(flags) {
				o.prepared[h], o.flags[h] = max(o.prepared[h], g), flags
				sim.configure(o)
			}
		})
	}
}

// flagTargets sets the targets that every host sees as down, each host after its own delay.
func (sim *simulation) flagTargets(flags map[pimentospread.TargetID]bool) {
	sim.flaggedTargets = flags
	for _, h := range sim.hosts {
		sim.schedule(sim.delay(sim.maxHeartbeatDelay), h, func() { sim.configure(h) })
	}
}

// carryOut carries out the actions that a host requests.
func (sim *simulation) carryOut(h *simulatedHost) {
	for _, x := range h.actions.Forwards {
		sim.schedule(sim.delay(maxDelay), nil, func() { sim.receiveAtTarget(x) })
	}
	for _, x := range h.actions.Deliveries {
		conn := sim.connections[binary.BigEndian.Uint32(x.Packet)]
		from := pimentospread.TargetID(binary.BigEndian.Uint32(x.Packet[4:]))
		sim.schedule(sim.delay(maxDelay), nil, func() {
			if !conn.established {
				conn.established, conn.target = true, from
			}
		})
	}
	for _, x := range h.actions.PeerMessages {
		if sim.messageSize != nil {
			sim.bytes += sim.messageSize(x)
		}
		for _, o := range sim.hosts {
			if o.id == x.To {
				sim.schedule(sim.delay(maxDelay), o, func() {
					o.steerer.HandlePeerMessage(sim.now, pimentospread.Inbound{From: h.id, Message: x.Message}, &o.actions)
				})
			}
		}
	}
	h.actions.Clear()
}
