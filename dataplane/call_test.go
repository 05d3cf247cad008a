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

// dial opens a connection and repeats the SYN each second until it is established.
func (c *cell) dial(id pimentospread.ServiceID) {
	n := len(c.calls)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)}), uint16(1024+c.rng.IntN(60000)))
	p := flow.Packet{Key: pimentospread.FlowKey{Caller: caller, Service: serviceAddress(id)}, Service: id}
	p.ID = p.Key.ID()
	k := &call{packet: p, half: map[pimentospread.TargetID]bool{}}
	c.calls = append(c.calls, k)
	c.talk(n, k)
}

// talk sends the next packet of a call and goes on until the call is broken.
func (c *cell) talk(n int, k *call) {
	next := time.Second
	if k.established {
		// Every other call is quiet, so that few hosts know it.
		next = time.Duration(1+3*(n/2%2))*time.Second + c.delay(time.Second)
	}
	p := k.packet
	p.SYN = !k.established
	c.spray(n, p)
	c.at(next, nil, func() { c.talk(n, k) })
}

// spray sends a packet to any ready host, now and then twice.
func (c *cell) spray(n int, p flow.Packet) {
	copies := 1
	if c.rng.IntN(10) == 0 {
		copies = 2
	}
	raw := binary.BigEndian.AppendUint32(nil, uint32(n))
	raw = binary.BigEndian.AppendUint32(raw, uint32(p.From))
	if p.SYN {
		raw = append(raw, 1)
	}
	for range copies {
		if c.rng.IntN(lossOneIn) == 0 {
			continue
		}
		var ready []*fakeHost
		for _, h := range c.hosts {
			if h.ready {
				ready = append(ready, h)
			}
		}
		h := ready[c.rng.IntN(len(ready))]
		c.at(c.delay(maxDelay), h, func() { h.steer.HandlePacket(c.now, p, raw, &h.actions) })
	}
}

// atTarget is what a target does with a packet: it takes a SYN, answers a
// connection that it has, and refuses one that it does not have.
func (c *cell) atTarget(x Forward) {
	n := binary.BigEndian.Uint32(x.Packet)
	k := c.calls[n]
	if x.Service != k.packet.Service || !c.serves(x.Service, x.Target) {
		c.foreign++
	}
	if len(x.Packet) > 8 {
		k.half[x.Target] = true
	} else if !k.half[x.Target] || k.established && k.target != x.Target {
		k.broken = true
		return
	} else {
		k.reached++
	}
	answer := k.packet
	answer.Direction, answer.From = flow.ToCaller, x.Target
	c.spray(int(n), answer)
}

// serves reports whether any release had the target in the service's pool.
func (c *cell) serves(id pimentospread.ServiceID, t pimentospread.TargetID) bool {
	for _, v := range c.releases {
		if _, ok := v.Services[id].Pool.ByID(t); ok {
			return true
		}
	}
	return false
}

// run lets time pass.
func (c *cell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(cellStep)
		for len(c.events) > 0 && !c.events[0].at.After(c.now) {
			heap.Pop(&c.events).(event).run()
		}
		for _, h := range c.hosts {
			if !h.up || c.now.Before(h.pausedTill) {
				continue
			}
			h.steer.Tick(c.now, &h.actions)
			c.act(h)
			if h.leaving && !h.ready && h.steer.HandoverDone() {
				h.up = false
			}
		}
	}
}

// outcome is what became of the established calls whose target exists.
type outcome struct{ Established, Broken, Stuck, Foreign int }

// outcome lets every call send some more packets and counts those that do not get through.
func (c *cell) outcome() outcome {
	before := map[*call]int{}
	for _, k := range c.calls {
		if k.established {
			before[k] = k.reached
		}
	}
	c.run(25 * time.Second)
	o := outcome{Foreign: c.foreign}
	for _, k := range c.calls {
		if _, ok := c.newest().Services[k.packet.Service].Table.Target(k.target); !k.established || !ok {
			continue
		}
		o.Established++
		reached, asked := before[k]
		if k.broken {
			o.Broken++
		} else if asked && k.reached == reached {
			o.Stuck++
		}
	}
	return o
}

// baseline steers by the newest release alone, with neither records nor memory.
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

func byModulo(s *ServiceView, id pimentospread.FlowID) pimentospread.TargetID {
	var members []pimentospread.TargetID
	for _, t := range s.Pool.Targets {
		if t.State == pool.Active {
			members = append(members, t.ID)
		}
	}
	return members[uint64(id)%uint64(len(members))]
}

func byConsistentHash(s *ServiceView, id pimentospread.FlowID) pimentospread.TargetID {
	return s.Table.Lookup(id).Current
}
