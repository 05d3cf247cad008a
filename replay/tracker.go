package replay

import (
	"encoding/binary"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/request"
)

// tracker counts the outcome of a replay from the inputs and actions of the workers.
type tracker struct {
	outcome Outcome
	flows   map[pimentospread.FlowID]*trackedFlow
	// flowsOpened counts the opened flows by service and target.
	flowsOpened      map[pimentospread.ServiceID]map[pimentospread.TargetID]int
	requests         map[pimentospread.RequestID]*trackedRequest
	requestByAttempt map[pimentospread.AttemptID]*trackedRequest
	// requestByOrigin holds the last request of each origin, by originKey.
	requestByOrigin map[string]*trackedRequest
	classes         map[pimentospread.ServiceID]map[pimentospread.Class]*ClassOutcome
}

type trackedFlow struct {
	target pimentospread.TargetID
	// established is true once a packet other than a SYN was forwarded to the target.
	// broken is true once a packet was forwarded to another target.
	established, broken bool
}

type trackedRequest struct {
	request request.Request
	// sent counts the attempts that were not shed.
	sent int
	// answers holds the payloads of the answer parts that targets returned.
	answers  map[string]bool
	runTwice bool
	replied  bool
}

func newTracker() *tracker {
	return &tracker{
		flows:            map[pimentospread.FlowID]*trackedFlow{},
		flowsOpened:      map[pimentospread.ServiceID]map[pimentospread.TargetID]int{},
		requests:         map[pimentospread.RequestID]*trackedRequest{},
		requestByAttempt: map[pimentospread.AttemptID]*trackedRequest{},
		requestByOrigin:  map[string]*trackedRequest{},
		classes:          map[pimentospread.ServiceID]map[pimentospread.Class]*ClassOutcome{},
	}
}

const (
	// flagSYN and flagToCaller are the bits of the byte that follows the flow ID.
	flagSYN             = 1
	flagToCaller        = 2
	encodedPacketLength = 9
)

// encodePacket returns a stand-in for the raw packet, with its flow ID and flags.
// The tracker identifies the packet by it when a worker forwards it later.
func encodePacket(p flow.Packet) []byte {
	raw := make([]byte, encodedPacketLength)
	binary.BigEndian.PutUint64(raw, uint64(p.ID))
	if p.SYN {
		raw[8] |= flagSYN
	}
	if p.Direction == flow.ToCaller {
		raw[8] |= flagToCaller
	}
	return raw
}

// addFlowActions counts the actions of a flow shard. services are those of the
// shard's last view.
func (t *tracker) addFlowActions(services map[pimentospread.ServiceID]*dataplane.ServiceView, a *dataplane.FlowActions) {
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
		t.addForward(f)
	}
	for _, r := range a.Resets {
		delete(t.flows, r.Key.ID())
	}
}

func (t *tracker) addForward(f dataplane.Forward) {
	id := pimentospread.FlowID(binary.BigEndian.Uint64(f.Packet))
	tracked, ok := t.flows[id]
	switch {
	case !ok && f.Packet[8]&flagSYN == 0:
		// The flow was opened before the trace began.
		t.flows[id] = &trackedFlow{target: f.Target, established: true}
	case !ok:
		t.flows[id] = &trackedFlow{target: f.Target}
		t.outcome.FlowsOpened++
		t.addOpenedFlow(f.Service, f.Target)
	case f.Packet[8]&flagSYN != 0 && !tracked.established:
		// A repeated SYN may go to another target as long as no target has answered.
		tracked.target = f.Target
	case tracked.target == f.Target:
		tracked.established = true
	case !tracked.broken:
		tracked.broken = true
		t.outcome.FlowsBroken++
	}
}

func (t *tracker) addOpenedFlow(service pimentospread.ServiceID, target pimentospread.TargetID) {
	if t.flowsOpened[service] == nil {
		t.flowsOpened[service] = map[pimentospread.TargetID]int{}
	}
	t.flowsOpened[service][target]++
}

func (t *tracker) addRequest(r request.Request) {
	if r.Cancelled {
		return
	}
	tracked, ok := t.requests[r.ID]
	if !ok {
		tracked = &trackedRequest{request: r, answers: map[string]bool{}}
		t.requests[r.ID] = tracked
		t.classOutcome(r).Received++
	}
	t.requestByOrigin[originKey(r.Origin)] = tracked
}

func originKey(o request.Origin) string { return o.Caller.String() + "/" + string(o.Token) }

// classOutcome returns the counts of the class of a request.
func (t *tracker) classOutcome(r request.Request) *ClassOutcome {
	if t.classes[r.Service] == nil {
		t.classes[r.Service] = map[pimentospread.Class]*ClassOutcome{}
	}
	c, ok := t.classes[r.Service][r.Class]
	if !ok {
		c = &ClassOutcome{Class: r.Class}
		t.classes[r.Service][r.Class] = c
	}
	return c
}

func (t *tracker) addAnswer(answer request.Answer) {
	tracked, ok := t.requestByAttempt[answer.Attempt]
	if !ok {
		return
	}
	if answer.Kind == request.Shed {
		tracked.sent--
		return
	}
	tracked.answers[string(answer.Part.Payload)] = true
}

func (t *tracker) addRequestActions(a *dataplane.RequestActions) {
	for _, attempt := range a.Attempts {
		tracked, ok := t.requests[attempt.Request]
		if !ok {
			tracked = &trackedRequest{answers: map[string]bool{}}
			t.requests[attempt.Request] = tracked
		}
		t.requestByAttempt[attempt.ID] = tracked
		tracked.sent++
		if tracked.sent > 1 && !attempt.Idempotent && !tracked.runTwice {
			tracked.runTwice = true
			t.outcome.RunTwice++
		}
	}
	for _, reply := range a.Replies {
		t.addReply(reply)
	}
}

func (t *tracker) addReply(reply request.Reply) {
	tracked, ok := t.requestByOrigin[originKey(reply.Origin)]
	if !ok {
		return
	}
	class := t.classOutcome(tracked.request)
	first := !tracked.replied
	switch reply.Outcome {
	case request.Answered:
		if !tracked.answers[string(reply.Part.Payload)] {
			t.outcome.MismatchedReplies++
		}
		if first && !reply.Part.More {
			class.Done++
		}
	case request.TargetFailed:
		class.Failed += boolToInt(first)
	case request.NotRun:
		class.NotRun += boolToInt(first)
		if tracked.sent > 0 && !tracked.request.Idempotent {
			t.outcome.NotRunButSent++
		}
	case request.Unknown:
		class.Unknown += boolToInt(first)
	case request.Accepted:
		return
	case request.Malformed:
	}
	tracked.replied = tracked.replied || !reply.Part.More
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *tracker) result() Outcome {
	outcome := t.outcome
	services := map[pimentospread.ServiceID]bool{}
	for id := range t.flowsOpened {
		services[id] = true
	}
	for id := range t.classes {
		services[id] = true
	}
	for _, id := range sortedKeys(services) {
		s := ServiceOutcome{Service: id, Imbalance: imbalance(t.flowsOpened[id])}
		for _, class := range sortedKeys(t.classes[id]) {
			s.Classes = append(s.Classes, *t.classes[id][class])
		}
		outcome.Services = append(outcome.Services, s)
	}
	return outcome
}

// imbalance returns the highest count of a target divided by the mean count.
func imbalance(flowsOpened map[pimentospread.TargetID]int) pimentospread.Ratio {
	sum, highest := 0, 0
	for _, n := range flowsOpened {
		sum += n
		highest = max(highest, n)
	}
	if sum == 0 {
		return 0
	}
	return pimentospread.Ratio(float64(highest) * float64(len(flowsOpened)) / float64(sum))
}
