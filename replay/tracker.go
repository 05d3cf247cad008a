package replay

import (
	"encoding/binary"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/request"
)

// tracker follows what the deciders do with each flow and request.
type tracker struct {
	outcome  Outcome
	flows    map[pimentospread.FlowID]*trackedFlow
	opened   map[pimentospread.ServiceID]map[pimentospread.TargetID]int
	requests map[pimentospread.RequestID]*trackedRequest
	attempts map[pimentospread.AttemptID]*trackedRequest
	origins  map[string]*trackedRequest
	classes  map[pimentospread.ServiceID]map[pimentospread.Class]*ClassOutcome
}

type trackedFlow struct {
	target pimentospread.TargetID
	// established says that a packet after the first has been steered.
	established, broken bool
}

type trackedRequest struct {
	request request.Request
	// sent counts attempts that were not shed.
	sent    int
	parts   map[string]bool
	twice   bool
	replied bool
}

func newTracker() *tracker {
	return &tracker{
		flows:    map[pimentospread.FlowID]*trackedFlow{},
		opened:   map[pimentospread.ServiceID]map[pimentospread.TargetID]int{},
		requests: map[pimentospread.RequestID]*trackedRequest{},
		attempts: map[pimentospread.AttemptID]*trackedRequest{},
		origins:  map[string]*trackedRequest{},
		classes:  map[pimentospread.ServiceID]map[pimentospread.Class]*ClassOutcome{},
	}
}

const (
	markSYN      = 1
	markToCaller = 2
	markLength   = 9
)

// encodePacket marks the packet, so that it is known again when a decider
// forwards it later.
func encodePacket(p flow.Packet) []byte {
	raw := make([]byte, markLength)
	binary.BigEndian.PutUint64(raw, uint64(p.ID))
	if p.SYN {
		raw[8] |= markSYN
	}
	if p.Direction == flow.ToCaller {
		raw[8] |= markToCaller
	}
	return raw
}

func (t *tracker) flowActions(services map[pimentospread.ServiceID]*dataplane.ServiceView, a *dataplane.FlowActions) {
	t.outcome.Resets += len(a.Resets)
	for _, f := range a.Forwards {
		s, ok := services[f.Service]
		if ok {
			_, ok = s.Pool.ByID(f.Target)
		}
		if !ok {
			t.outcome.Misdelivered++
			continue
		}
		t.forwarded(f)
	}
	for _, r := range a.Resets {
		delete(t.flows, r.Key.ID())
	}
}

func (t *tracker) forwarded(f dataplane.Forward) {
	id := pimentospread.FlowID(binary.BigEndian.Uint64(f.Packet))
	known, ok := t.flows[id]
	switch {
	case !ok && f.Packet[8]&markSYN == 0:
		// The trace began after the flow.
		t.flows[id] = &trackedFlow{target: f.Target, established: true}
	case !ok:
		t.flows[id] = &trackedFlow{target: f.Target}
		t.outcome.FlowsOpened++
		t.open(f.Service, f.Target)
	case f.Packet[8]&markSYN != 0 && !known.established:
		// A repeated first packet may go to another target until one answers.
		known.target = f.Target
	case known.target == f.Target:
		known.established = true
	case !known.broken:
		known.broken = true
		t.outcome.FlowsBroken++
	}
}

func (t *tracker) open(service pimentospread.ServiceID, target pimentospread.TargetID) {
	if t.opened[service] == nil {
		t.opened[service] = map[pimentospread.TargetID]int{}
	}
	t.opened[service][target]++
}

func (t *tracker) asked(q request.Request) {
	if q.Cancelled {
		return
	}
	known, ok := t.requests[q.ID]
	if !ok {
		known = &trackedRequest{request: q, parts: map[string]bool{}}
		t.requests[q.ID] = known
		t.class(q).Received++
	}
	t.origins[originKey(q.Origin)] = known
}

func originKey(o request.Origin) string { return o.Caller.String() + "/" + string(o.Token) }

func (t *tracker) class(q request.Request) *ClassOutcome {
	if t.classes[q.Service] == nil {
		t.classes[q.Service] = map[pimentospread.Class]*ClassOutcome{}
	}
	c, ok := t.classes[q.Service][q.Class]
	if !ok {
		c = &ClassOutcome{Class: q.Class}
		t.classes[q.Service][q.Class] = c
	}
	return c
}

func (t *tracker) answered(a request.Answer) {
	q, ok := t.attempts[a.Attempt]
	if !ok {
		return
	}
	if a.Kind == request.Shed {
		q.sent--
		return
	}
	q.parts[string(a.Part.Payload)] = true
}

func (t *tracker) requestActions(a *dataplane.RequestActions) {
	for _, s := range a.Attempts {
		q, ok := t.requests[s.Request]
		if !ok {
			q = &trackedRequest{parts: map[string]bool{}}
			t.requests[s.Request] = q
		}
		t.attempts[s.ID] = q
		q.sent++
		if q.sent > 1 && !s.Idempotent && !q.twice {
			q.twice = true
			t.outcome.RunTwice++
		}
	}
	for _, r := range a.Replies {
		t.reply(r)
	}
}

func (t *tracker) reply(r request.Reply) {
	q, ok := t.origins[originKey(r.Origin)]
	if !ok {
		return
	}
	c := t.class(q.request)
	first := !q.replied
	switch r.Outcome {
	case request.Answered:
		if !q.parts[string(r.Part.Payload)] {
			t.outcome.MismatchedReplies++
		}
		if first && !r.Part.More {
			c.Done++
		}
	case request.TargetFailed:
		c.Failed += count(first)
	case request.NotRun:
		c.NotRun += count(first)
		if q.sent > 0 && !q.request.Idempotent {
			t.outcome.NotRunButSent++
		}
	case request.Unknown:
		c.Unknown += count(first)
	case request.Accepted:
		return
	case request.Malformed:
	}
	q.replied = q.replied || !r.Part.More
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (t *tracker) result() Outcome {
	o := t.outcome
	services := map[pimentospread.ServiceID]bool{}
	for id := range t.opened {
		services[id] = true
	}
	for id := range t.classes {
		services[id] = true
	}
	for _, id := range sortedKeys(services) {
		s := ServiceOutcome{Service: id, Imbalance: imbalance(t.opened[id])}
		for _, class := range sortedKeys(t.classes[id]) {
			s.Classes = append(s.Classes, *t.classes[id][class])
		}
		o.Services = append(o.Services, s)
	}
	return o
}

func imbalance(opened map[pimentospread.TargetID]int) pimentospread.Ratio {
	sum, high := 0, 0
	for _, n := range opened {
		sum += n
		high = max(high, n)
	}
	if sum == 0 {
		return 0
	}
	return pimentospread.Ratio(float64(high) * float64(len(opened)) / float64(sum))
}
