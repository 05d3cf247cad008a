package dataplane

import (
	"container/heap"
	"encoding/binary"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/pool"
)

// openConnection opens a connection and retransmits the SYN each second until it is established.
func (sim *simulation) openConnection(id pimentospread.ServiceID) {
	n := len(sim.connections)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)}), uint16(1024+sim.rng.IntN(60000)))
	p := flow.Packet{Key: pimentospread.FlowKey{Caller: caller, Service: serviceAddress(id)}, Service: id}
	p.ID = p.Key.ID()
	conn := &connection{packet: p, acceptedBy: map[pimentospread.TargetID]bool{}}
	sim.connections = append(sim.connections, conn)
	sim.sendNext(n, conn)
}

// sendNext sends the next packet of a connection and schedules the one after it.
func (sim *simulation) sendNext(n int, conn *connection) {
	next := time.Second
	if conn.established {
		// Every other connection sends rarely, so that few hosts have it in their flow table.
		next = time.Duration(1+3*(n/2%2))*time.Second + sim.delay(time.Second)
	}
	p := conn.packet
	p.SYN = !conn.established
	sim.sendToAnyHost(n, p)
	sim.schedule(next, nil, func() { sim.sendNext(n, conn) })
}

// sendToAnyHost sends a packet to a random ready host. Some packets are
// duplicated and some are lost.
func (sim *simulation) sendToAnyHost(n int, p flow.Packet) {
	copies := 1
	if sim.rng.IntN(10) == 0 {
		copies = 2
	}
	raw := binary.BigEndian.AppendUint32(nil, uint32(n))
	raw = binary.BigEndian.AppendUint32(raw, uint32(p.From))
	if p.SYN {
		raw = append(raw, 1)
	}
	for range copies {
		if sim.rng.IntN(lossDivisor) == 0 {
			continue
		}
		var ready []*simulatedHost
		for _, h := range sim.hosts {
			if h.ready {
				ready = append(ready, h)
			}
		}
		h := ready[sim.rng.IntN(len(ready))]
		sim.schedule(sim.delay(maxDelay), h, func() { h.steerer.HandlePacket(sim.now, p, raw, &h.actions) })
	}
}

// receiveAtTarget handles a packet at a target, which accepts a SYN, answers
// packets of its connections and breaks a connection that it does not have.
func (sim *simulation) receiveAtTarget(x Forward) {
	n := binary.BigEndian.Uint32(x.Packet)
	conn := sim.connections[n]
	if x.Service != conn.packet.Service || !sim.serves(x.Service, x.Target) {
		sim.misdirected++
	}
	if len(x.Packet) > 8 {
		conn.acceptedBy[x.Target] = true
	} else if !conn.acceptedBy[x.Target] || conn.established && conn.target != x.Target {
		conn.broken = true
		return
	} else {
		conn.packetsReceived++
	}
	answer := conn.packet
	answer.Direction, answer.From = flow.ToCaller, x.Target
	sim.sendToAnyHost(int(n), answer)
}

// serves reports whether any release has the target in the service's pool.
func (sim *simulation) serves(id pimentospread.ServiceID, t pimentospread.TargetID) bool {
	for _, v := range sim.releases {
		if _, ok := v.Services[id].Pool.ByID(t); ok {
			return true
		}
	}
	return false
}

// advance runs the simulation for the given time.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simulationStep)
		for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
			heap.Pop(&sim.events).(event).run()
		}
		for _, h := range sim.hosts {
			if !h.up || sim.now.Before(h.pausedUntil) {
				continue
			}
			h.steerer.Tick(sim.now, &h.actions)
			sim.carryOut(h)
			if h.leaving && !h.ready && h.steerer.HandoverDone() {
				h.up = false
			}
		}
	}
}

// connectionOutcome counts the established connections whose target exists.
type connectionOutcome struct{ Established, Broken, Stuck, Misdirected int }

// checkOutcome lets every connection send some more packets and counts the
// connections of which none arrives.
func (sim *simulation) checkOutcome() connectionOutcome {
	before := map[*connection]int{}
	for _, conn := range sim.connections {
		if conn.established {
			before[conn] = conn.packetsReceived
		}
	}
	sim.advance(25 * time.Second)
	o := connectionOutcome{Misdirected: sim.misdirected}
	for _, conn := range sim.connections {
		if _, ok := sim.latestRelease().Services[conn.packet.Service].Table.Target(conn.target); !conn.established || !ok {
			continue
		}
		o.Established++
		received, established := before[conn]
		if conn.broken {
			o.Broken++
		} else if established && conn.packetsReceived == received {
			o.Stuck++
		}
	}
	return o
}

// baseline steers by the newest release alone, without records or a flow table.
type baseline struct {
	view   *View
	choose func(*ServiceView, pimentospread.FlowID) pimentospread.TargetID
}

func (b *baseline) Configure(_ time.Time, v *View, _ *FlowActions)                   { b.view = v }
func (b *baseline) HandlePeerMessage(time.Time, pimentospread.Inbound, *FlowActions) {}
func (b *baseline) Tick(time.Time, *FlowActions)                                     {}
func (b *baseline) StartHandover(time.Time, *FlowActions)                            {}
func (b *baseline) HandoverDone() bool                                               { return true }
func (b *baseline) Prepared() bool                                                   { return true }
func (b *baseline) HandlePacket(_ time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	if p.Direction == flow.ToCaller {
		a.Deliveries = append(a.Deliveries, Delivery{Packet: raw})
		return
	}
	t := b.choose(b.view.Services[p.Service], p.ID)
	a.Forwards = append(a.Forwards, Forward{Service: p.Service, Target: t, Packet: raw})
}

func chooseByModulo(s *ServiceView, id pimentospread.FlowID) pimentospread.TargetID {
	var members []pimentospread.TargetID
	for _, t := range s.Pool.Targets {
		if t.State == pool.Active {
			members = append(members, t.ID)
		}
	}
	return members[uint64(id)%uint64(len(members))]
}

func chooseByConsistentHash(s *ServiceView, id pimentospread.FlowID) pimentospread.TargetID {
	return s.Table.Lookup(id).Current
}
