package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/pool"
)

const (
	// portReuseAge is the age in seconds from which a SYN of a known flow to a
	// draining target counts as a new connection from the same port. A retransmitted
	// SYN arrives sooner than that.
	portReuseAge = 60
	// synRetryAge is the age in seconds above which the SYN of a flow that an
	// avoided target has not answered may go to another target. Copies made by
	// the network arrive sooner.
	synRetryAge = 1
)

// HandlePacket steers one packet. raw belongs to the caller. The actions refer to
// it, so the caller must carry them out before it reuses raw.
func (f *FlowShard) HandlePacket(now time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	if f.view == nil {
		f.drop(DropNoView, a)
		return
	}
	f.recoverFromPause(now)
	s, ok := f.view.Services[p.Service]
	if !ok {
		f.drop(DropUnknownService, a)
		return
	}
	e := f.flows.Get(p.ID)
	if e == nil {
		f.steerUnknownFlow(now, s, p, raw, a)
		return
	}
	if e.Service != p.Service {
		f.handleServiceMismatch(now, s, p, raw, a)
		return
	}
	if p.SYN && f.startsNewFlow(now, s, e) || e.Flags&(flow.Confirmed|flow.Recorded) == 0 && f.mayHaveRecord(now, s.Table.Lookup(p.ID)) {
		f.removeFlow(p.ID)
		f.steerUnknownFlow(now, s, p, raw, a)
		return
	}
	f.passPacket(now, s, e, p, raw, a)
}

// handleServiceMismatch handles a packet whose flow belongs to another service.
// After an address moved to another service, only new flows are accepted.
func (f *FlowShard) handleServiceMismatch(now time.Time, s *ServiceView, p flow.Packet, raw []byte, a *FlowActions) {
	if !p.SYN {
		f.drop(DropForeignService, a)
		return
	}
	f.removeFlow(p.ID)
	f.steerUnknownFlow(now, s, p, raw, a)
}

// startsNewFlow reports whether a SYN of a known flow starts a new flow.
func (f *FlowShard) startsNewFlow(now time.Time, s *ServiceView, e *flow.Entry) bool {
	poolTarget, ok := s.Table.Target(e.Target)
	age := f.seconds(now) - e.LastSeen
	switch {
	case e.Closed():
		return true
	case !ok:
		return f.targetRemoved(s, e.Target)
	case poolTarget.State == pool.Draining:
		return age >= portReuseAge
	default:
		return f.view.Avoided[e.Target] && !e.Has(flow.Confirmed) && age > synRetryAge
	}
}

// passPacket forwards a packet of a known flow to its target or its caller.
func (f *FlowShard) passPacket(now time.Time, s *ServiceView, e *flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	address, ok := s.Table.Address(e.Target)
	if !ok {
		f.dropWithoutTarget(s, e, a)
		return
	}
	if p.Direction == flow.ToCaller {
		f.deliverAnswer(now, e, p, raw, a)
		return
	}
	e.LastSeen = f.seconds(now)
	if !p.SYN {
		e.Flags |= flow.Confirmed
	}
	if p.RST {
		e.Flags |= flow.ClosedByCaller | flow.ClosedByTarget
	}
	if p.FIN {
		e.Flags |= flow.ClosedByCaller
	}
	a.Forwards = append(a.Forwards, Forward{Service: p.Service, Target: e.Target, Address: address, Packet: raw})
	f.countUnanswered(now, s, e, p, raw)
}

// dropWithoutTarget drops a packet whose target is not in the table of this host.
func (f *FlowShard) dropWithoutTarget(s *ServiceView, e *flow.Entry, a *FlowActions) {
	if !f.targetRemoved(s, e.Target) {
		f.drop(DropNewerRelease, a)
		return
	}
	f.removeFlow(e.ID)
	f.drop(DropTargetRemoved, a)
}

func (f *FlowShard) deliverAnswer(now time.Time, e *flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	if p.From != e.Target {
		f.drop(DropForeignTarget, a)
		return
	}
	e.LastSeen = f.seconds(now)
	e.LastAnswer = e.LastSeen
	e.Flags &^= flow.SentOnce | flow.SentRepeatedly
	f.silence.lastAnswer[e.Target] = e.LastSeen
	e.Flags |= flow.Confirmed
	if p.RST {
		e.Flags |= flow.ClosedByCaller | flow.ClosedByTarget
	}
	if p.FIN {
		e.Flags |= flow.ClosedByTarget
	}
	a.Deliveries = append(a.Deliveries, Delivery{Packet: raw})
}

// steerUnknownFlow steers a packet of a flow that is not in the flow table.
func (f *FlowShard) steerUnknownFlow(now time.Time, s *ServiceView, p flow.Packet, raw []byte, a *FlowActions) {
	if owner, ok := f.view.ServiceByAddress[p.Key.Service]; !ok || owner != p.Service {
		f.drop(DropForeignService, a)
		return
	}
	if pending := f.pending.flows[p.ID]; pending != nil {
		f.holdPacket(pending, p, raw, a)
		return
	}
	choice := s.Table.Lookup(p.ID)
	if p.SYN && p.Direction == flow.ToTarget {
		f.steerNewFlow(now, s, choice, p, raw, a)
		return
	}
	if f.mayHaveRecord(now, choice) {
		if now.Before(f.pausedUntil) {
			// The list of live hosts dates from before the pause, so it may name
			// holders that no longer have the record.
			f.drop(DropPaused, a)
			return
		}
		f.queryRecord(now, p, raw, a)
		return
	}
	f.addFlowAndPass(now, s, flow.Entry{ID: p.ID, Service: p.Service, Target: choice.Default, Flags: flow.Confirmed}, p, raw, a)
}

// addFlowAndPass adds a flow to the table and passes its packet. An answer
// from a target other than the flow's is dropped without adding the flow.
func (f *FlowShard) addFlowAndPass(now time.Time, s *ServiceView, e flow.Entry, p flow.Packet, raw []byte, a *FlowActions) {
	if e.Target == 0 {
		f.drop(DropNoTarget, a)
		return
	}
	if p.Direction == flow.ToCaller && p.From != e.Target {
		f.drop(DropForeignTarget, a)
		return
	}
	f.passPacket(now, s, f.addFlow(now, e), p, raw, a)
}

func (f *FlowShard) steerNewFlow(now time.Time, s *ServiceView, choice pool.Choice, p flow.Packet, raw []byte, a *FlowActions) {
	if now.Before(f.pausedUntil) {
		f.drop(DropPaused, a)
		return
	}
	target, cause := f.chooseTarget(s, choice, p)
	if target == 0 {
		f.drop(cause, a)
		return
	}
	if f.needsRecord(now, choice, target) {
		f.recordNewFlow(now, p, target, raw, a)
		return
	}
	e := flow.Entry{ID: p.ID, Service: p.Service, Target: target}
	if f.view.Active && choice.Changed {
		// Every host that receives this SYN with the view active chooses the same target.
		e.Flags = flow.Confirmed
	}
	f.addFlowAndPass(now, s, e, p, raw, a)
}

// chooseTarget returns the target of a new flow, or the reason why there is none.
// Until the view is active, new flows are placed by the tables of the last active
// view; a host that had none uses the epoch before the current one.
func (f *FlowShard) chooseTarget(s *ServiceView, choice pool.Choice, p flow.Packet) (pimentospread.TargetID, DropCause) {
	table := s.Table
	target := choice.Current
	if !f.view.Active {
		target = choice.Previous
		if t := f.activeTables[p.Service]; t != nil {
			table, target = t, t.Lookup(p.ID).Current
		}
	}
	if f.view.Avoided[target] {
		target = table.TargetExcluding(p.ID, f.view.Avoided)
	}
	poolTarget, ok := s.Table.Target(target)
	switch {
	case target == 0:
		return 0, DropNoTarget
	case !ok, !f.view.Active && poolTarget.State == pool.Draining:
		return 0, DropNotActivated
	}
	if limit := (int(poolTarget.Connections) + f.config.ShardCount - 1) / f.config.ShardCount; limit > 0 && f.stats.FlowsByTarget[target] >= limit {
		return 0, DropTargetFull
	}
	return target, ""
}

// mayHaveRecord reports whether holders may have a record of a flow with this choice.
func (f *FlowShard) mayHaveRecord(now time.Time, choice pool.Choice) bool {
	return now.Before(f.assumeRecordsUntil) || f.targetMayDiffer(now, choice)
}

// targetMayDiffer reports whether flows with this choice may have different targets.
func (f *FlowShard) targetMayDiffer(now time.Time, choice pool.Choice) bool {
	return choice.Changed || len(f.suspended) > 0 && f.isSuspended(now, choice.Current)
}

// needsRecord reports whether a new flow must be recorded before its SYN is
// forwarded. While hosts switch from one choice to another, and as long
// afterwards as a SYN may be retransmitted, the first and the retransmitted SYN may reach
// hosts with different choices. Both must then be recorded, even if one of them
// goes to the default, so that the holders detect the conflict.
func (f *FlowShard) needsRecord(now time.Time, choice pool.Choice, target pimentospread.TargetID) bool {
	return target != choice.Default || f.view.Flagged[target] || now.Before(f.synRetransmissionsUntil) && f.targetMayDiffer(now, choice)
}

func (f *FlowShard) addFlow(now time.Time, e flow.Entry) *flow.Entry {
	e.LastSeen = f.seconds(now)
	e.FirstSeen = uint8(e.LastSeen)
	if !e.Has(flow.Recorded) {
		e.VisitRound = f.scan.round - 1
	}
	if f.flows.Len() >= f.config.MaxFlows {
		f.overflowEntry = e
		return &f.overflowEntry
	}
	f.removeFlow(e.ID)
	f.stats.FlowsByTarget[e.Target]++
	return f.flows.Put(e)
}

func (f *FlowShard) removeFlow(id pimentospread.FlowID) {
	e := f.flows.Get(id)
	if e == nil {
		return
	}
	if f.stats.FlowsByTarget[e.Target]--; f.stats.FlowsByTarget[e.Target] == 0 {
		delete(f.stats.FlowsByTarget, e.Target)
	}
	f.flows.Delete(id)
}
