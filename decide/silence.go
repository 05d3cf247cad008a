package decide

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

const (
	// silenceRate is the number of flows a second that a host asks about.
	silenceRate = 50
	// confirmAfter is the time in which an answer may still come to the packet
	// that makes a flow suspect. It is the first one after a pause when the flow
	// was only quiet. The time covers its retransmissions after 1 and 3 s (RFC 6298).
	confirmAfter = 4 * time.Second
	// minWithin is above confirmAfter by the time of the question and the rounding to seconds.
	minWithin = uint32(confirmAfter/time.Second) + 2
)

// silence finds flows whose answers have stopped.
type silence struct {
	// within is the time in seconds in which an answer must have been seen.
	within uint32
	asked  map[pimentospread.FlowID]*silentFlow
	// suspects are the flows of asked that no peer was asked about yet, oldest first.
	suspects []suspect
	// heard is the time of the last answer packet of each target.
	heard    map[pimentospread.TargetID]uint32
	budget   float64
	filledAt time.Time
}

// suspect is a flow about which the peers are asked when it is due.
type suspect struct {
	flow pimentospread.FlowID
	due  time.Time
}

// silentFlow is a flow that peers are asked about.
type silentFlow struct {
	packet  flow.Packet
	raw     []byte
	waiting int
	// seen says that a peer saw an answer or did not reply.
	seen bool
}

func newSilence() silence {
	return silence{asked: map[pimentospread.FlowID]*silentFlow{}, heard: map[pimentospread.TargetID]uint32{}}
}

// unanswered counts a packet to the target. A flow that has gone without an
// answer for too long becomes suspect.
func (f *Flows) unanswered(now time.Time, s *ServiceView, e *flow.Entry, p flow.Packet, raw []byte) {
	if !e.Has(flow.SentOnce) {
		e.Unanswered = e.Seen
		e.Marks |= flow.SentOnce
		return
	}
	e.Marks |= flow.SentAgain
	if e.Seen-e.Unanswered < uint32(s.Policy.SilenceAfter.Seconds()) {
		return
	}
	if p.SYN || p.RST || !e.Has(flow.Confirmed) || !f.alive(e) || f.silence.asked[p.ID] != nil || !f.takeSilence(now) {
		return
	}
	f.silence.asked[p.ID] = &silentFlow{packet: p, raw: slices.Clone(raw)}
	f.silence.suspects = append(f.silence.suspects, suspect{p.ID, now.Add(confirmAfter)})
}

// askSilent asks the peers about the suspect flows that are due.
func (f *Flows) askSilent(now time.Time, a *FlowActions) {
	q := &f.silence
	for len(q.suspects) > 0 && !now.Before(q.suspects[0].due) {
		f.askPeers(q.suspects[0].flow, a)
		q.suspects = q.suspects[1:]
	}
}

func (f *Flows) askPeers(id pimentospread.FlowID, a *FlowActions) {
	q := f.silence.asked[id]
	if e := f.flows.Get(id); e == nil || !e.Has(flow.SentAgain) {
		delete(f.silence.asked, id)
		return
	}
	for _, h := range f.holders.hosts {
		if h.id != f.view.Self {
			q.waiting++
			o := f.mail.box(h.id)
			o.flows[kindSilence] = append(o.flows[kindSilence], id)
		}
	}
	if q.waiting == 0 {
		f.silenceVerdict(id, q, a)
	}
}

// alive reports whether the target of a flow answers other flows.
func (f *Flows) alive(e *flow.Entry) bool {
	heard, ok := f.silence.heard[e.Target]
	return ok && e.Seen-heard <= f.silence.within && !f.view.Flagged[e.Target]
}

func (f *Flows) takeSilence(now time.Time) bool {
	q := &f.silence
	rate := float64(silenceRate) / float64(f.deps.Shards)
	q.budget = min(max(rate, 1), q.budget+rate*now.Sub(q.filledAt).Seconds())
	q.filledAt = now
	if q.budget < 1 {
		return false
	}
	q.budget--
	return true
}

func (f *Flows) silenceQuery(now time.Time, from pimentospread.HostID, m *flow.SilenceQuery, a *FlowActions) {
	reply := &flow.SilenceReply{Batch: m.Batch, Count: uint32(len(m.Flows))}
	for _, id := range m.Flows {
		if e := f.flows.Get(id); e != nil && e.Answered != 0 && f.seconds(now)-e.Answered <= m.Within {
			reply.Seen = append(reply.Seen, id)
		}
	}
	a.Peers = append(a.Peers, pimentospread.Outbound{To: from, Message: reply})
}

func (f *Flows) silenceReply(_ time.Time, from pimentospread.HostID, m *flow.SilenceReply, a *FlowActions) {
	b, complete := f.mail.reply(from, m.Batch, m.Count)
	if b == nil || b.kind != kindSilence {
		return
	}
	for _, id := range m.Seen {
		if q := f.silence.asked[id]; q != nil {
			q.seen = true
		}
	}
	if !complete {
		return
	}
	for _, id := range b.flows {
		if q := f.silence.asked[id]; q != nil {
			if q.waiting--; q.waiting == 0 {
				f.silenceVerdict(id, q, a)
			}
		}
	}
}

// silenceMissed takes the lack of a reply as an answer that may have been seen.
func (f *Flows) silenceMissed(flows flow.IDs) {
	for _, id := range flows {
		if q := f.silence.asked[id]; q != nil {
			q.seen = true
			if q.waiting--; q.waiting == 0 {
				f.silenceVerdict(id, q, &FlowActions{})
			}
		}
	}
}

// silenceVerdict ends a flow of which nobody saw an answer.
func (f *Flows) silenceVerdict(id pimentospread.FlowID, q *silentFlow, a *FlowActions) {
	delete(f.silence.asked, id)
	e := f.flows.Get(id)
	if e == nil || !e.Has(flow.SentAgain) {
		return
	}
	if q.seen || !f.alive(e) {
		// The answer may be older than the silence, so the time counts from here.
		e.Unanswered = e.Seen
		return
	}
	f.stats.Resets++
	f.forget(id)
	a.Resets = append(a.Resets, Reset{Key: q.packet.Key, Packet: q.raw})
}
