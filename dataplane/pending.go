package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

// maxHeldPacketsPerFlow bounds the packets that are held for one flow.
const maxHeldPacketsPerFlow = 8

// pendingFlows contains the flows whose packets are held for replies of other hosts.
type pendingFlows struct {
	flows   map[pimentospread.FlowID]*pendingFlow
	packets int
}

// pendingFlow is a flow that waits for the replies of its holders.
type pendingFlow struct {
	service pimentospread.ServiceID
	// target is the chosen target of a new flow, or zero if the holders are queried for the flow.
	target pimentospread.TargetID
	// answers has one entry for each holder, in the order of their rank.
	answers []holderAnswer
	packets []heldPacket
}

// holderAnswer is the reply of one holder.
type holderAnswer struct {
	host   pimentospread.HostID
	state  answerState
	target pimentospread.TargetID
	// primary is the holder that ranked first at the host that wrote the record.
	primary flow.HostTag
}

type answerState uint8

const (
	answerWaiting answerState = iota
	answerReceived
	// answerTimedOut means that the holder did not reply in time.
	answerTimedOut
	// answerHostLost means that the holder is no longer live, so its reply is not needed.
	answerHostLost
)

type heldPacket struct {
	packet flow.Packet
	raw    []byte
}

// holdPacket keeps a copy of a packet until the target of its flow is known.
func (f *FlowShard) holdPacket(pending *pendingFlow, p flow.Packet, raw []byte, a *FlowActions) {
	if len(pending.packets) >= maxHeldPacketsPerFlow || f.pending.packets >= f.config.MaxHeldPackets {
		f.drop(DropTooManyHeld, a)
		return
	}
	f.pending.packets++
	pending.packets = append(pending.packets, heldPacket{p, slices.Clone(raw)})
}

// addPendingFlow starts to wait for the first n holders of a flow. It returns
// false if no more packets may be held.
func (f *FlowShard) addPendingFlow(p flow.Packet, raw []byte, n int, a *FlowActions) (*pendingFlow, bool) {
	if f.pending.packets >= f.config.MaxHeldPackets {
		f.drop(DropTooManyHeld, a)
		return nil, false
	}
	pending := &pendingFlow{service: p.Service}
	list := f.holders.rank(p.ID, n)
	for _, i := range list.index[:list.n] {
		pending.answers = append(pending.answers, holderAnswer{host: f.holders.hosts[i].id})
	}
	f.holdPacket(pending, p, raw, a)
	f.pending.flows[p.ID] = pending
	return pending, true
}

// recordNewFlow records a new flow at its holders before its SYN is forwarded.
func (f *FlowShard) recordNewFlow(now time.Time, p flow.Packet, target pimentospread.TargetID, raw []byte, a *FlowActions) {
	pending, ok := f.addPendingFlow(p, raw, recordHolders, a)
	if !ok {
		return
	}
	f.stats.RecordedFlows++
	pending.target = target
	r := flow.Record{Flow: p.ID, Service: p.Service, Target: target, Primary: pending.primaryHolder()}
	for i := range pending.answers {
		if answer := &pending.answers[i]; answer.host == f.view.Self {
			kept := f.storeRecord(now, r, storeNew)
			answer.state, answer.target, answer.primary = answerReceived, kept.Target, kept.Primary
		} else {
			f.batcher.outbox(answer.host).addRecord(r, kindPut)
			f.scan.putRate += recordWireSize
		}
	}
	f.resolvePendingFlow(now, p.ID, pending, a)
	f.sendDueBatches(now, a)
}

// queryRecord queries the holders of a flow for its record.
func (f *FlowShard) queryRecord(now time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	pending, ok := f.addPendingFlow(p, raw, queriedHolders, a)
	if !ok {
		return
	}
	f.stats.RecordQueries++
	for i := range pending.answers {
		if answer := &pending.answers[i]; answer.host == f.view.Self {
			r, _ := f.lookUpRecord(now, p.ID, p.Service)
			answer.state, answer.target = answerReceived, r.Target
		}
	}
	if f.resolvePendingFlow(now, p.ID, pending, a) {
		return
	}
	for i := range pending.answers {
		if answer := &pending.answers[i]; answer.state == answerWaiting {
			f.batcher.outbox(answer.host).addQuery(p.ID)
		}
	}
	f.sendDueBatches(now, a)
}

// handleHolderAnswer handles the reply of one holder for a pending flow.
func (f *FlowShard) handleHolderAnswer(now time.Time, id pimentospread.FlowID, answer holderAnswer, a *FlowActions) {
	pending := f.pending.flows[id]
	if pending == nil {
		return
	}
	for i := range pending.answers {
		if pending.answers[i].host == answer.host && pending.answers[i].state == answerWaiting {
			pending.answers[i] = answer
		}
	}
	f.resolvePendingFlow(now, id, pending, a)
}

// resolvePendingFlow forwards or drops the packets of a pending flow if its
// holders have replied sufficiently, and reports whether it did.
func (f *FlowShard) resolvePendingFlow(now time.Time, id pimentospread.FlowID, pending *pendingFlow, a *FlowActions) bool {
	s := f.view.Services[pending.service]
	if s == nil {
		f.dropPendingFlow(id, pending, DropUnknownService, a)
		return true
	}
	var target pimentospread.TargetID
	var cause DropCause
	var done bool
	if pending.target != 0 {
		target, cause, done = pending.recordedTarget()
	} else {
		target, cause, done = pending.queriedTarget()
	}
	switch {
	case !done:
		return false
	case cause != "":
		f.dropPendingFlow(id, pending, cause, a)
		return true
	}
	flags := flow.Confirmed
	if target != 0 {
		flags = flow.Recorded
	}
	if f.targetRemoved(s, target) {
		target = f.fallbackTarget(s, id, pending)
	}
	f.correctHolders(now, id, pending, target)
	f.releaseHeldPackets(now, s, flow.Entry{ID: id, Service: pending.service, Target: target, Flags: flags, VisitRound: f.scan.round}, pending, a)
	return true
}

// primaryHolder returns the tag of the holder that this host ranks first.
func (p *pendingFlow) primaryHolder() flow.HostTag {
	if len(p.answers) == 0 {
		return 0
	}
	return tagOf(p.answers[0].host)
}

// fallbackTarget returns the target of a flow that has no record or whose
// recorded target was removed.
func (f *FlowShard) fallbackTarget(s *ServiceView, id pimentospread.FlowID, pending *pendingFlow) pimentospread.TargetID {
	if pending.target != 0 {
		return pending.target
	}
	return s.Table.Lookup(id).Default
}

// recordedTarget returns the target under which a new flow was recorded. It is
// that of the first holder by rank that replied, unless a later one has another
// target from a host that ranks another holder first. If two hosts record the
// same flow, the one whose record reaches a common holder first thus wins, even
// if their lists of live hosts differ.
func (p *pendingFlow) recordedTarget() (pimentospread.TargetID, DropCause, bool) {
	for _, answer := range p.answers {
		if answer.state == answerWaiting {
			return 0, "", false
		}
	}
	var target pimentospread.TargetID
	for _, answer := range p.answers {
		if answer.state != answerReceived {
			continue
		}
		if target == 0 || target == p.target && answer.target != target && answer.primary != p.primaryHolder() {
			target = answer.target
		}
	}
	if target == 0 {
		return 0, DropNoRecord, true
	}
	return target, "", true
}

// queriedTarget returns the target of the first record in the order of the
// holders' rank, or none if no live holder that was queried has a record. A
// lower-ranked holder can have an older record that the writers of the current
// one did not know, so its reply counts only after those of the holders above it.
func (p *pendingFlow) queriedTarget() (pimentospread.TargetID, DropCause, bool) {
	missed := false
	for _, answer := range p.answers {
		switch {
		case answer.state == answerWaiting:
			return 0, "", false
		case answer.state == answerReceived && answer.target != 0:
			return answer.target, "", true
		case answer.state == answerTimedOut:
			missed = true
		}
	}
	if missed {
		return 0, DropNoAnswer, true
	}
	return 0, "", true
}

// correctHolders replaces the records of holders that have another target for a
// new flow. This happens when two hosts with different views received the same
// SYN. A holder that did not reply in time may have another target as well.
func (f *FlowShard) correctHolders(now time.Time, id pimentospread.FlowID, pending *pendingFlow, target pimentospread.TargetID) {
	if pending.target == 0 {
		return
	}
	for _, answer := range pending.answers {
		if answer.state == answerHostLost || answer.state == answerReceived && answer.target == target {
			continue
		}
		r := flow.Record{Flow: id, Service: pending.service, Target: target, Primary: pending.primaryHolder()}
		if answer.host == f.view.Self {
			f.storeRecord(now, r, storeForced)
		} else {
			f.batcher.outbox(answer.host).addRecord(r, kindForce)
		}
	}
}

// releaseHeldPackets passes the held packets of a flow whose target is now known.
func (f *FlowShard) releaseHeldPackets(now time.Time, s *ServiceView, e flow.Entry, pending *pendingFlow, a *FlowActions) {
	delete(f.pending.flows, e.ID)
	f.pending.packets -= len(pending.packets)
	for _, p := range pending.packets {
		if known := f.flows.Get(e.ID); known != nil {
			f.passPacket(now, s, known, p.packet, p.raw, a)
		} else {
			f.addFlowAndPass(now, s, e, p.packet, p.raw, a)
		}
	}
}

// dropPendingFlow drops the held packets. The sender retransmits them, and the
// fabric may send them to another host.
func (f *FlowShard) dropPendingFlow(id pimentospread.FlowID, pending *pendingFlow, cause DropCause, a *FlowActions) {
	delete(f.pending.flows, id)
	f.pending.packets -= len(pending.packets)
	for range pending.packets {
		f.drop(cause, a)
	}
}
