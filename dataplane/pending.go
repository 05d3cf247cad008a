package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

// maxHeldPerFlow bounds what one flow takes of the packets that wait.
const maxHeldPerFlow = 8

// pending holds the flows whose packets wait for other hosts.
type pending struct {
	flows   map[pimentospread.FlowID]*heldFlow
	packets int
}

// heldFlow is a flow that waits for its holders.
type heldFlow struct {
	service pimentospread.ServiceID
	// target is the choice for a new flow; zero while the flow is asked about.
	target  pimentospread.TargetID
	answers []holderAnswer
	packets []heldPacket
}

// holderAnswer is what one holder said, in the order of their rank.
type holderAnswer struct {
	host   pimentospread.HostID
	state  answerState
	target pimentospread.TargetID
	// primary is the first holder by the host that wrote the record.
	primary flow.HostTag
}

type answerState uint8

const (
	answerWaiting answerState = iota
	answerGiven
	// answerMissed holders did not answer in time.
	answerMissed
	// answerLost holders are no longer live, so their answer is not needed.
	answerLost
)

type heldPacket struct {
	packet flow.Packet
	raw    []byte
}

// holdPacket keeps a copy of a packet until the flow is decided.
func (f *FlowShard) holdPacket(h *heldFlow, p flow.Packet, raw []byte, a *FlowActions) {
	if len(h.packets) >= maxHeldPerFlow || f.pending.packets >= f.deps.MaxHeldPackets {
		f.drop(DropTooManyHeld, a)
		return
	}
	f.pending.packets++
	h.packets = append(h.packets, heldPacket{p, slices.Clone(raw)})
}

// hold begins to wait for the first n holders. It reports false when no more packets may wait.
func (f *FlowShard) hold(p flow.Packet, raw []byte, n int, a *FlowActions) (*heldFlow, bool) {
	if f.pending.packets >= f.deps.MaxHeldPackets {
		f.drop(DropTooManyHeld, a)
		return nil, false
	}
	h := &heldFlow{service: p.Service}
	l := f.holders.rank(p.ID, n)
	for _, i := range l.index[:l.n] {
		h.answers = append(h.answers, holderAnswer{host: f.holders.hosts[i].id})
	}
	f.holdPacket(h, p, raw, a)
	f.pending.flows[p.ID] = h
	return h, true
}

// put records a new flow at its holders before the SYN is forwarded.
func (f *FlowShard) put(now time.Time, p flow.Packet, target pimentospread.TargetID, raw []byte, a *FlowActions) {
	h, ok := f.hold(p, raw, writtenHolders, a)
	if !ok {
		return
	}
	f.stats.RecordedFlows++
	h.target = target
	r := flow.Record{Flow: p.ID, Service: p.Service, Target: target, Primary: h.primary()}
	for i := range h.answers {
		if x := &h.answers[i]; x.host == f.view.Self {
			kept := f.keep(now, r, keepNew)
			x.state, x.target, x.primary = answerGiven, kept.Target, kept.Primary
		} else {
			f.mail.box(x.host).put(r, kindPut)
			f.walk.putRate += recordCost
		}
	}
	f.decide(now, p.ID, h, a)
	f.flush(now, a)
}

// ask asks the holders of a flow for its record.
func (f *FlowShard) ask(now time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	h, ok := f.hold(p, raw, askedHolders, a)
	if !ok {
		return
	}
	f.stats.RecordQueries++
	for i := range h.answers {
		if x := &h.answers[i]; x.host == f.view.Self {
			r, _ := f.lookUp(now, p.ID, p.Service)
			x.state, x.target = answerGiven, r.Target
		}
	}
	if f.decide(now, p.ID, h, a) {
		return
	}
	for i := range h.answers {
		if x := &h.answers[i]; x.state == answerWaiting {
			f.mail.box(x.host).ask(p.ID)
		}
	}
	f.flush(now, a)
}

// answered takes the word of one holder about a flow that waits.
func (f *FlowShard) answered(now time.Time, id pimentospread.FlowID, x holderAnswer, a *FlowActions) {
	h := f.pending.flows[id]
	if h == nil {
		return
	}
	for i := range h.answers {
		if h.answers[i].host == x.host && h.answers[i].state == answerWaiting {
			h.answers[i] = x
		}
	}
	f.decide(now, id, h, a)
}

// decide settles a held flow when its holders have said enough, and reports whether it did.
func (f *FlowShard) decide(now time.Time, id pimentospread.FlowID, h *heldFlow, a *FlowActions) bool {
	s := f.view.Services[h.service]
	if s == nil {
		f.abandon(id, h, DropUnknownService, a)
		return true
	}
	var target pimentospread.TargetID
	var cause DropCause
	var done bool
	if h.target != 0 {
		target, cause, done = h.recorded()
	} else {
		target, cause, done = h.found()
	}
	switch {
	case !done:
		return false
	case cause != "":
		f.abandon(id, h, cause, a)
		return true
	}
	marks := flow.Confirmed
	if target != 0 {
		marks = flow.Recorded
	}
	if f.gone(s, target) {
		target = f.replacement(s, id, h)
	}
	f.agree(now, id, h, target)
	f.release(now, s, flow.Entry{ID: id, Service: h.service, Target: target, Marks: marks, Round: f.walk.round}, h, a)
	return true
}

// primary is the tag of the holder that this host ranks first.
func (h *heldFlow) primary() flow.HostTag {
	if len(h.answers) == 0 {
		return 0
	}
	return tagOf(h.answers[0].host)
}

// replacement is the target of a flow without a record or whose recorded target was removed.
func (f *FlowShard) replacement(s *ServiceView, id pimentospread.FlowID, h *heldFlow) pimentospread.TargetID {
	if h.target != 0 {
		return h.target
	}
	return s.Table.Lookup(id).Default
}

// recorded tells which target a new flow got: that of the first ranked holder
// which answered, unless a later one has another target from a host that ranks
// another holder first. Of two hosts that record the same flow, whatever live
// hosts each of them knows, the one that is first at a common holder so wins.
func (h *heldFlow) recorded() (pimentospread.TargetID, DropCause, bool) {
	for _, x := range h.answers {
		if x.state == answerWaiting {
			return 0, "", false
		}
	}
	var target pimentospread.TargetID
	for _, x := range h.answers {
		if x.state != answerGiven {
			continue
		}
		if target == 0 || target == h.target && x.target != target && x.primary != h.primary() {
			target = x.target
		}
	}
	if target == 0 {
		return 0, DropNoRecord, true
	}
	return target, "", true
}

// found tells which target a flow has: that of the first record in the order of
// the holders' rank, or none when every live holder that was asked has none.
// A lower ranked holder can have an older record that the writers of the
// current one did not know of, so its word waits for those above it.
func (h *heldFlow) found() (pimentospread.TargetID, DropCause, bool) {
	missed := false
	for _, x := range h.answers {
		switch {
		case x.state == answerWaiting:
			return 0, "", false
		case x.state == answerGiven && x.target != 0:
			return x.target, "", true
		case x.state == answerMissed:
			missed = true
		}
	}
	if missed {
		return 0, DropNoAnswer, true
	}
	return 0, "", true
}

// agree corrects the holders that kept another target for a new flow, which
// happens when two hosts with different views took the same SYN. A holder that
// did not answer in time may have kept another one as well.
func (f *FlowShard) agree(now time.Time, id pimentospread.FlowID, h *heldFlow, target pimentospread.TargetID) {
	if h.target == 0 {
		return
	}
	for _, x := range h.answers {
		if x.state == answerLost || x.state == answerGiven && x.target == target {
			continue
		}
		r := flow.Record{Flow: id, Service: h.service, Target: target, Primary: h.primary()}
		if x.host == f.view.Self {
			f.keep(now, r, keepForced)
		} else {
			f.mail.box(x.host).put(r, kindForce)
		}
	}
}

// release passes the held packets of a flow whose target is known now.
func (f *FlowShard) release(now time.Time, s *ServiceView, e flow.Entry, h *heldFlow, a *FlowActions) {
	delete(f.pending.flows, e.ID)
	f.pending.packets -= len(h.packets)
	for _, p := range h.packets {
		if known := f.flows.Get(e.ID); known != nil {
			f.pass(now, s, known, p.packet, p.raw, a)
		} else {
			f.settle(now, s, e, p.packet, p.raw, a)
		}
	}
}

// abandon drops the held packets. The sender repeats them, and the fabric may
// hand them to another host.
func (f *FlowShard) abandon(id pimentospread.FlowID, h *heldFlow, cause DropCause, a *FlowActions) {
	delete(f.pending.flows, id)
	f.pending.packets -= len(h.packets)
	for range h.packets {
		f.drop(cause, a)
	}
}
