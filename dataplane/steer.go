package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/pool"
)

const (
	// reuseAfter is the age in seconds at which a SYN of a known flow to a
	// draining target is a new connection from the same port. A SYN is repeated
	// sooner than that while the first one is still on its way.
	reuseAfter = 60
	// retryAfter is the age in seconds at which a SYN without an answer from an
	// avoided target may go to another one. Copies made by the network come sooner.
	retryAfter = 1
)

// HandlePacket steers one packet. raw belongs to the caller of HandlePacket; the actions
// refer to it, so they are carried out before it is used again.
func (f *FlowShard) HandlePacket(now time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	if f.view == nil {
		f.drop(DropNoView, a)
		return
	}
	f.noticePause(now)
	s, ok := f.view.Services[p.Service]
	if !ok {
		f.drop(DropUnknownService, a)
		return
	}
	e := f.flows.Get(p.ID)
	if e == nil {
		f.unknown(now, s, p, raw, a)
		return
	}
	if e.Service != p.Service {
		f.foreign(now, s, p, raw, a)
		return
	}
	if p.SYN && f.reused(now, s, e) || e.Marks&(flow.Confirmed|flow.Recorded) == 0 && f.changed(now, s.Table.Lookup(p.ID)) {
		f.forget(p.ID)
		f.unknown(now, s, p, raw, a)
		return
	}
	f.pass(now, s, e, p, raw, a)
}

// foreign handles a packet whose flow is known in another service: an address
// that moved to another service takes new flows only.
func (f *FlowShard) foreign(now time.Time, s *ServiceView, p flow.Packet, raw []byte, a *FlowActions) {
	if !p.SYN {
		f.drop(DropForeignService, a)
		return
	}
	f.forget(p.ID)
	f.unknown(now, s, p, raw, a)
}

// reused reports whether a SYN of a known flow begins another flow.
func (f *FlowShard) reused(now time.Time, s *ServiceView, e *flow.Entry) bool {
	g, ok := s.Table.Target(e.Target)
	age := f.seconds(now) - e.Seen
	switch {
	case e.Closed():
		return true
	case !ok:
		return f.gone(s, e.Target)
	case g.State == pool.Draining:
		return age >= reuseAfter
	default:
		return f.view.Avoided[e.Target] && !e.Has(flow.Confirmed) && age > retryAfter
	}
}

// pass sends a packet of a known flow on.
func (f *FlowShard) pass(now time.Time, s *ServiceView, e *flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	address, ok := s.Table.Address(e.Target)
	if !ok {
		f.noTarget(s, e, a)
		return
	}
	if p.Direction == flow.ToCaller {
		f.answer(now, e, p, raw, a)
		return
	}
	e.Seen = f.seconds(now)
	if !p.SYN {
		e.Marks |= flow.Confirmed
	}
	if p.RST {
		e.Marks |= flow.ClosedByCaller | flow.ClosedByTarget
	}
	if p.FIN {
		e.Marks |= flow.ClosedByCaller
	}
	a.Forwards = append(a.Forwards, Forward{Service: p.Service, Target: e.Target, Address: address, Packet: raw})
	f.unanswered(now, s, e, p, raw)
}

// noTarget drops a packet whose target this host does not know.
func (f *FlowShard) noTarget(s *ServiceView, e *flow.Entry, a *FlowActions) {
	if !f.gone(s, e.Target) {
		f.drop(DropNewerRelease, a)
		return
	}
	f.forget(e.ID)
	f.drop(DropTargetGone, a)
}

func (f *FlowShard) answer(now time.Time, e *flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	if p.From != e.Target {
		f.drop(DropForeignTarget, a)
		return
	}
	e.Seen = f.seconds(now)
	e.Answered = e.Seen
	e.Marks &^= flow.SentOnce | flow.SentAgain
	f.silence.heard[e.Target] = e.Seen
	e.Marks |= flow.Confirmed
	if p.RST {
		e.Marks |= flow.ClosedByCaller | flow.ClosedByTarget
	}
	if p.FIN {
		e.Marks |= flow.ClosedByTarget
	}
	a.Deliveries = append(a.Deliveries, Delivery{Packet: raw})
}

// unknown steers a packet of a flow that is not in the flow table.
func (f *FlowShard) unknown(now time.Time, s *ServiceView, p flow.Packet, raw []byte, a *FlowActions) {
	if owner, ok := f.view.ServiceByAddress[p.Key.Service]; !ok || owner != p.Service {
		f.drop(DropForeignService, a)
		return
	}
	if h := f.pending.flows[p.ID]; h != nil {
		f.holdPacket(h, p, raw, a)
		return
	}
	choice := s.Table.Lookup(p.ID)
	if p.SYN && p.Direction == flow.ToTarget {
		f.newFlow(now, s, choice, p, raw, a)
		return
	}
	if f.changed(now, choice) {
		if now.Before(f.pausedUntil) {
			// The live hosts of before the pause may name holders of a record that was given up.
			f.drop(DropPaused, a)
			return
		}
		f.ask(now, p, raw, a)
		return
	}
	f.settle(now, s, flow.Entry{ID: p.ID, Service: p.Service, Target: choice.Default, Marks: flow.Confirmed}, p, raw, a)
}

// settle remembers the target of a flow and passes its packet. An answer
// packet from another target leaves no trace.
func (f *FlowShard) settle(now time.Time, s *ServiceView, e flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	if e.Target == 0 {
		f.drop(DropNoTarget, a)
		return
	}
	if p.Direction == flow.ToCaller && p.From != e.Target {
		f.drop(DropForeignTarget, a)
		return
	}
	f.pass(now, s, f.learn(now, e), p, raw, a)
}

func (f *FlowShard) newFlow(now time.Time, s *ServiceView, c pool.Choice, p flow.Packet, raw []byte, a *FlowActions) {
	if now.Before(f.pausedUntil) {
		f.drop(DropPaused, a)
		return
	}
	target, cause := f.place(s, c, p)
	if target == 0 {
		f.drop(cause, a)
		return
	}
	if f.mustRecord(now, c, target) {
		f.put(now, p, target, raw, a)
		return
	}
	e := flow.Entry{ID: p.ID, Service: p.Service, Target: target}
	if f.view.Active && c.Changed {
		// Every host that takes this SYN under the active view chooses the same target.
		e.Marks = flow.Confirmed
	}
	f.settle(now, s, e, p, raw, a)
}

// place chooses the target of a new flow, or says why there is none. Until a
// view is active, new flows go by the last active one; a host that has had none
// takes the epoch before the current one.
func (f *FlowShard) place(s *ServiceView, c pool.Choice, p flow.Packet) (pimentospread.TargetID, DropCause) {
	table := s.Table
	target := c.Current
	if !f.view.Active {
		target = c.Previous
		if t := f.active[p.Service]; t != nil {
			table, target = t, t.Lookup(p.ID).Current
		}
	}
	if f.view.Avoided[target] {
		target = table.TargetExcluding(p.ID, f.view.Avoided)
	}
	g, ok := s.Table.Target(target)
	switch {
	case target == 0:
		return 0, DropNoTarget
	case !ok, !f.view.Active && g.State == pool.Draining:
		return 0, DropNotActivated
	}
	if limit := (int(g.Connections) + f.deps.ShardCount - 1) / f.deps.ShardCount; limit > 0 && f.stats.FlowsByTarget[target] >= limit {
		return 0, DropTargetFull
	}
	return target, ""
}

// changed reports whether a record of a flow with this choice may exist.
func (f *FlowShard) changed(now time.Time, c pool.Choice) bool {
	return now.Before(f.cautiousUntil) || f.differs(now, c)
}

// differs reports whether hosts give flows with this choice to more than one target.
func (f *FlowShard) differs(now time.Time, c pool.Choice) bool {
	return c.Changed || len(f.suspended) > 0 && f.isSuspended(now, c.Current)
}

// mustRecord reports whether a new flow needs a record before its SYN goes
// out. While hosts change over from one choice to another, and for as long
// after that as a SYN is repeated, both the first and the repeated one must
// meet at the holders, even when one of them goes to the default.
func (f *FlowShard) mustRecord(now time.Time, c pool.Choice, target pimentospread.TargetID) bool {
	return target != c.Default || f.view.Flagged[target] || now.Before(f.unsettledUntil) && f.differs(now, c)
}

func (f *FlowShard) learn(now time.Time, e flow.Entry) *flow.Entry {
	e.Seen = f.seconds(now)
	e.Born = uint8(e.Seen)
	if !e.Has(flow.Recorded) {
		e.Round = f.walk.round - 1
	}
	if f.flows.Len() >= f.deps.MaxFlows {
		f.spill = e
		return &f.spill
	}
	f.forget(e.ID)
	f.stats.FlowsByTarget[e.Target]++
	return f.flows.Put(e)
}

func (f *FlowShard) forget(id pimentospread.FlowID) {
	e := f.flows.Get(id)
	if e == nil {
		return
	}
	if f.stats.FlowsByTarget[e.Target]--; f.stats.FlowsByTarget[e.Target] == 0 {
		delete(f.stats.FlowsByTarget, e.Target)
	}
	f.flows.Delete(id)
}
