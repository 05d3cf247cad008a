package dataplane

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
	// evidenceWait is the time for the replies of shards that have no flow of the
	// question. It is that of any reply of a peer.
	evidenceWait = 200 * time.Millisecond
	// minWithin is above confirmAfter by the time of the question and the rounding to seconds.
	minWithin = uint32(confirmAfter/time.Second) + 2
)

// silence finds flows whose answers have stopped.
type silence struct {
	// within is the time in seconds in which an answer must have been seen.
	within uint32
	asked  map[pimentospread.FlowID]*silentFlow
	// suspects are the flows of asked that no peer was asked about yet, oldest first,
	// and judged those about which all have replied.
	suspects, judged []suspect
	// heard is the time of the last answer packet of each target.
	heard    map[pimentospread.TargetID]uint32
	budget   float64
	filledAt time.Time
}

// suspect is a flow about which the peers are asked, or which is judged, when it is due.
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
	// answering says that a peer sees the target answer other flows.
	answering bool
}

func newSilence() silence {
	return silence{asked: map[pimentospread.FlowID]*silentFlow{}, heard: map[pimentospread.TargetID]uint32{}}
}

// unanswered counts a packet to the target. A flow that has gone without an
// answer for too long becomes suspect.
func (f *FlowShard) unanswered(now time.Time, s *ServiceView, e *flow.Entry, p flow.Packet, raw []byte) {
	if !e.Has(flow.SentOnce) {
		e.Unanswered = e.Seen
		e.Marks |= flow.SentOnce
		return
	}
	e.Marks |= flow.SentAgain
	if e.Seen-e.Unanswered < uint32(s.Policy.SilenceAfter.Seconds()) {
		return
	}
	if p.SYN || p.RST || !e.Has(flow.Confirmed) || f.view.Flagged[e.Target] || f.silence.asked[p.ID] != nil || !f.takeSilence(now) {
		return
	}
	f.silence.asked[p.ID] = &silentFlow{packet: p, raw: slices.Clone(raw)}
	f.silence.suspects = append(f.silence.suspects, suspect{p.ID, now.Add(confirmAfter)})
}

// askSilent asks the peers about the suspect flows that are due.
func (f *FlowShard) askSilent(now time.Time, a *FlowActions) {
	q := &f.silence
	for len(q.suspects) > 0 && !now.Before(q.suspects[0].due) {
		f.askPeers(now, q.suspects[0].flow, a)
		q.suspects = q.suspects[1:]
	}
	for len(q.judged) > 0 && !now.Before(q.judged[0].due) {
		id := q.judged[0].flow
		q.judged = q.judged[1:]
		if x := q.asked[id]; x != nil {
			f.silenceVerdict(now, id, x, a)
		}
	}
}

func (f *FlowShard) askPeers(now time.Time, id pimentospread.FlowID, a *FlowActions) {
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
		f.silenceVerdict(now, id, q, a)
	}
}

// answering reports whether the target answers other flows. A shard holds few
// flows of a target, so that the peers are asked as well.
func (f *FlowShard) answering(now time.Time, t pimentospread.TargetID, within uint32) bool {
	heard, ok := f.silence.heard[t]
	return ok && f.seconds(now)-heard <= within
}

// targetsOf returns the target of each flow, zero for a flow that has ended.
func (f *FlowShard) targetsOf(flows flow.IDs) []pimentospread.TargetID {
	targets := make([]pimentospread.TargetID, len(flows))
	for i, id := range flows {
		if e := f.flows.Get(id); e != nil {
			targets[i] = e.Target
		}
	}
	return targets
}

func (f *FlowShard) takeSilence(now time.Time) bool {
	q := &f.silence
	rate := float64(silenceRate) / float64(f.deps.ShardCount)
	q.budget = min(max(rate, 1), q.budget+rate*now.Sub(q.filledAt).Seconds())
	q.filledAt = now
	if q.budget < 1 {
		return false
	}
	q.budget--
	return true
}

func (f *FlowShard) silenceQuery(now time.Time, from pimentospread.HostID, m *flow.SilenceQuery, a *FlowActions) {
	reply := &flow.SilenceReply{Batch: m.Batch, Count: uint32(len(m.Flows))}
	if len(m.Flows) == 0 {
		for _, t := range m.Targets {
			if f.answering(now, t, m.Within) {
				reply.Targets = append(reply.Targets, t)
			}
		}
	}
	for i, id := range m.Flows {
		if e := f.flows.Get(id); e != nil && e.Answered != 0 && f.seconds(now)-e.Answered <= m.Within {
			reply.Seen = append(reply.Seen, id)
		}
		if len(m.Targets) > 0 && f.answering(now, m.Targets[i], m.Within) {
			reply.Answering = append(reply.Answering, id)
		}
	}
	a.PeerMessages = append(a.PeerMessages, pimentospread.Outbound{To: from, Message: reply})
}

func (f *FlowShard) silenceReply(now time.Time, from pimentospread.HostID, m *flow.SilenceReply) {
	f.targetsAnswer(m.Targets)
	b, complete := f.mail.reply(from, m.Batch, m.Count)
	if b == nil || b.kind != kindSilence {
		return
	}
	for _, id := range m.Seen {
		if q := f.silence.asked[id]; q != nil {
			q.seen = true
		}
	}
	for _, id := range m.Answering {
		if q := f.silence.asked[id]; q != nil {
			q.answering = true
		}
	}
	if !complete {
		return
	}
	for _, id := range b.flows {
		if q := f.silence.asked[id]; q != nil {
			if q.waiting--; q.waiting == 0 {
				f.silence.judged = append(f.silence.judged, suspect{id, now.Add(evidenceWait)})
			}
		}
	}
}

// targetsAnswer takes what a shard says that has no flow of a question.
func (f *FlowShard) targetsAnswer(targets []pimentospread.TargetID) {
	if len(targets) == 0 {
		return
	}
	for id, q := range f.silence.asked {
		if e := f.flows.Get(id); e != nil && slices.Contains(targets, e.Target) {
			q.answering = true
		}
	}
}

// silenceMissed takes the lack of a reply as an answer that may have been seen.
func (f *FlowShard) silenceMissed(now time.Time, flows flow.IDs) {
	for _, id := range flows {
		if q := f.silence.asked[id]; q != nil {
			q.seen = true
			if q.waiting--; q.waiting == 0 {
				f.silenceVerdict(now, id, q, &FlowActions{})
			}
		}
	}
}

// silenceVerdict ends a flow of which nobody saw an answer.
func (f *FlowShard) silenceVerdict(now time.Time, id pimentospread.FlowID, q *silentFlow, a *FlowActions) {
	delete(f.silence.asked, id)
	e := f.flows.Get(id)
	if e == nil || !e.Has(flow.SentAgain) {
		return
	}
	if q.seen || f.view.Flagged[e.Target] || !q.answering && !f.answering(now, e.Target, f.silence.within) {
		// The answer may be older than the silence, so the time counts from here.
		e.Unanswered = e.Seen
		return
	}
	f.stats.Resets++
	f.forget(id)
	a.Resets = append(a.Resets, Reset{Key: q.packet.Key, Packet: q.raw})
}
