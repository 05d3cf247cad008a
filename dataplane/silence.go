package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

const (
	// maxSilenceQueriesPerSecond bounds the flows per second about which a host asks its peers.
	maxSilenceQueriesPerSecond = 50
	// suspectConfirmation is the time in which an answer may still arrive for the
	// packet that made a flow suspect. That packet may be the first one after the
	// caller was idle. The time covers its retransmissions after 1 and 3 s (RFC 6298).
	suspectConfirmation = 4 * time.Second
	// shardReplyTimeout is the time to wait for the replies of shards that own none
	// of the queried flows. It equals the timeout of any other reply of a peer.
	shardReplyTimeout = 200 * time.Millisecond
	// minAnswerWindow is suspectConfirmation in seconds, plus the time of the query
	// and the rounding to seconds.
	minAnswerWindow = uint32(suspectConfirmation/time.Second) + 2
)

// silenceDetector finds flows whose target has stopped answering.
type silenceDetector struct {
	// answerWindow is the time in seconds within which an answer must have been seen.
	answerWindow uint32
	suspectFlows map[pimentospread.FlowID]*suspectFlow
	// toQuery holds the suspect flows about which no peer was asked yet, oldest
	// first. toConclude holds those about which all peers have replied.
	toQuery, toConclude []dueFlow
	// lastAnswer is the time of the last answer packet of each target, in seconds.
	lastAnswer map[pimentospread.TargetID]uint32
	budget     float64
	refilledAt time.Time
}

// dueFlow is a suspect flow with the time of its next step.
type dueFlow struct {
	flow pimentospread.FlowID
	due  time.Time
}

// suspectFlow is a flow whose answers may have stopped, with what the peers report about it.
type suspectFlow struct {
	packet       flow.Packet
	raw          []byte
	awaitedPeers int
	// answerSeen reports that a peer saw an answer or did not reply.
	answerSeen bool
	// targetAnswering reports that a peer sees the target answer other flows.
	targetAnswering bool
}

func newSilenceDetector() silenceDetector {
	return silenceDetector{suspectFlows: map[pimentospread.FlowID]*suspectFlow{}, lastAnswer: map[pimentospread.TargetID]uint32{}}
}

// countUnanswered records that a packet went to the target. A flow without an
// answer for longer than the policy's limit becomes suspect.
func (f *FlowShard) countUnanswered(now time.Time, s *ServiceView, e *flow.Entry, p flow.Packet, raw []byte) {
	if !e.Has(flow.SentOnce) {
		e.FirstUnanswered = e.LastSeen
		e.Flags |= flow.SentOnce
		return
	}
	e.Flags |= flow.SentRepeatedly
	if e.LastSeen-e.FirstUnanswered < uint32(s.Policy.SilenceAfter.Seconds()) {
		return
	}
	if p.SYN || p.RST || !e.Has(flow.Confirmed) || f.view.Flagged[e.Target] || f.silence.suspectFlows[p.ID] != nil || !f.takeSilenceToken(now) {
		return
	}
	f.silence.suspectFlows[p.ID] = &suspectFlow{packet: p, raw: slices.Clone(raw)}
	f.silence.toQuery = append(f.silence.toQuery, dueFlow{p.ID, now.Add(suspectConfirmation)})
}

// processSuspects queries the peers about the suspect flows that are due, and
// concludes those about which all replies are in.
func (f *FlowShard) processSuspects(now time.Time, a *FlowActions) {
	detector := &f.silence
	for len(detector.toQuery) > 0 && !now.Before(detector.toQuery[0].due) {
		f.queryPeers(now, detector.toQuery[0].flow, a)
		detector.toQuery = detector.toQuery[1:]
	}
	for len(detector.toConclude) > 0 && !now.Before(detector.toConclude[0].due) {
		id := detector.toConclude[0].flow
		detector.toConclude = detector.toConclude[1:]
		if suspect := detector.suspectFlows[id]; suspect != nil {
			f.concludeSuspect(now, id, suspect, a)
		}
	}
}

func (f *FlowShard) queryPeers(now time.Time, id pimentospread.FlowID, a *FlowActions) {
	suspect := f.silence.suspectFlows[id]
	if e := f.flows.Get(id); e == nil || !e.Has(flow.SentRepeatedly) {
		delete(f.silence.suspectFlows, id)
		return
	}
	for _, h := range f.holders.hosts {
		if h.id != f.view.Self {
			suspect.awaitedPeers++
			box := f.batcher.outbox(h.id)
			box.flows[kindSilence] = append(box.flows[kindSilence], id)
		}
	}
	if suspect.awaitedPeers == 0 {
		f.concludeSuspect(now, id, suspect, a)
	}
}

// targetAnswers reports whether the target has answered any flow of this shard
// within the given seconds. A shard has few flows of a target, so the peers are
// asked as well.
func (f *FlowShard) targetAnswers(now time.Time, t pimentospread.TargetID, within uint32) bool {
	lastAnswer, ok := f.silence.lastAnswer[t]
	return ok && f.seconds(now)-lastAnswer <= within
}

// targetsOf returns the target of each flow, or zero if the flow has ended.
func (f *FlowShard) targetsOf(flows flow.IDs) []pimentospread.TargetID {
	targets := make([]pimentospread.TargetID, len(flows))
	for i, id := range flows {
		if e := f.flows.Get(id); e != nil {
			targets[i] = e.Target
		}
	}
	return targets
}

func (f *FlowShard) takeSilenceToken(now time.Time) bool {
	detector := &f.silence
	rate := float64(maxSilenceQueriesPerSecond) / float64(f.config.ShardCount)
	detector.budget = min(max(rate, 1), detector.budget+rate*now.Sub(detector.refilledAt).Seconds())
	detector.refilledAt = now
	if detector.budget < 1 {
		return false
	}
	detector.budget--
	return true
}

func (f *FlowShard) handleSilenceQuery(now time.Time, from pimentospread.HostID, m *flow.SilenceQuery, a *FlowActions) {
	reply := &flow.SilenceReply{Batch: m.Batch, Count: uint32(len(m.Flows))}
	if len(m.Flows) == 0 {
		for _, t := range m.Targets {
			if f.targetAnswers(now, t, m.Within) {
				reply.Targets = append(reply.Targets, t)
			}
		}
	}
	for i, id := range m.Flows {
		if e := f.flows.Get(id); e != nil && e.LastAnswer != 0 && f.seconds(now)-e.LastAnswer <= m.Within {
			reply.Seen = append(reply.Seen, id)
		}
		if len(m.Targets) > 0 && f.targetAnswers(now, m.Targets[i], m.Within) {
			reply.Answering = append(reply.Answering, id)
		}
	}
	a.PeerMessages = append(a.PeerMessages, pimentospread.Outbound{To: from, Message: reply})
}

func (f *FlowShard) handleSilenceReply(now time.Time, from pimentospread.HostID, m *flow.SilenceReply) {
	f.recordAnsweringTargets(m.Targets)
	b, complete := f.batcher.matchReply(from, m.Batch, m.Count)
	if b == nil || b.kind != kindSilence {
		return
	}
	for _, id := range m.Seen {
		if suspect := f.silence.suspectFlows[id]; suspect != nil {
			suspect.answerSeen = true
		}
	}
	for _, id := range m.Answering {
		if suspect := f.silence.suspectFlows[id]; suspect != nil {
			suspect.targetAnswering = true
		}
	}
	if !complete {
		return
	}
	for _, id := range b.flows {
		if suspect := f.silence.suspectFlows[id]; suspect != nil {
			if suspect.awaitedPeers--; suspect.awaitedPeers == 0 {
				f.silence.toConclude = append(f.silence.toConclude, dueFlow{id, now.Add(shardReplyTimeout)})
			}
		}
	}
}

// recordAnsweringTargets handles the reply of a shard that owns none of the queried flows.
func (f *FlowShard) recordAnsweringTargets(targets []pimentospread.TargetID) {
	if len(targets) == 0 {
		return
	}
	for id, suspect := range f.silence.suspectFlows {
		if e := f.flows.Get(id); e != nil && slices.Contains(targets, e.Target) {
			suspect.targetAnswering = true
		}
	}
}

// handleMissingSilenceReply treats a missing reply as if the peer had seen an answer.
func (f *FlowShard) handleMissingSilenceReply(now time.Time, flows flow.IDs) {
	for _, id := range flows {
		if suspect := f.silence.suspectFlows[id]; suspect != nil {
			suspect.answerSeen = true
			if suspect.awaitedPeers--; suspect.awaitedPeers == 0 {
				f.concludeSuspect(now, id, suspect, &FlowActions{})
			}
		}
	}
}

// concludeSuspect resets a flow if no host saw an answer of it while its target answers others.
func (f *FlowShard) concludeSuspect(now time.Time, id pimentospread.FlowID, suspect *suspectFlow, a *FlowActions) {
	delete(f.silence.suspectFlows, id)
	e := f.flows.Get(id)
	if e == nil || !e.Has(flow.SentRepeatedly) {
		return
	}
	if suspect.answerSeen || f.view.Flagged[e.Target] || !suspect.targetAnswering && !f.targetAnswers(now, e.Target, f.silence.answerWindow) {
		// The answer may have come before the silence began, so the silence is timed from now.
		e.FirstUnanswered = e.LastSeen
		return
	}
	f.stats.Resets++
	f.removeFlow(id)
	a.Resets = append(a.Resets, Reset{Key: suspect.packet.Key, Packet: suspect.raw})
}
