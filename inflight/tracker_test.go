package inflight_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/inflight"
)

const (
	flowID = 1
	token  = 9
)

var start = time.Unix(1_700_000_000, 0)

func newTracker() *inflight.Tracker {
	return inflight.New(inflight.Config{
		MaxFlows: 4, AveragingWindow: 2 * time.Second, MaxRequestTime: 300 * time.Millisecond, MinRetransmissionDelay: 150 * time.Millisecond, FlowLifetime: time.Minute,
	})
}

type packet struct {
	at     time.Duration
	sent   inflight.Segment
	signal inflight.Signal
	// running is the count at the target afterwards.
	running int
}

// Guards against requests that count for ever, or not at all, and against lost
// packets that are taken for answers.
func TestPackets(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string][]packet{
		"a request runs until its answer is acknowledged": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, running: 1},
			{at: 30 * ms, sent: inflight.Segment{Sequence: 201, Ack: 2500}, signal: inflight.Signal{Answered: true}},
		},
		"the next request of a flow": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, running: 1},
			{at: 200 * ms, sent: inflight.Segment{Sequence: 201, Ack: 900, Length: 200}, signal: inflight.Signal{Answered: true}, running: 1},
		},
		"data sent again": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, running: 1},
			{at: 201 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, signal: inflight.Signal{Retransmitted: true, SentAt: start.Add(ms)}, running: 1},
			{at: 601 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, signal: inflight.Signal{Retransmitted: true, SentAt: start.Add(201 * ms)}},
		},
		"packets of one request that overtake each other": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1201, Ack: 100, Length: 300}, running: 1},
			{at: 2 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 1200}, running: 1},
		},
		"an answer that is not acknowledged at once": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, running: 1},
			{at: 302 * ms, sent: inflight.Segment{Sequence: 201, Ack: 100}},
		},
		"the caller ends the flow": {
			{sent: inflight.Segment{Sequence: 1, Ack: 100}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1, Ack: 100, Length: 200}, running: 1},
			{at: 40 * ms, sent: inflight.Segment{Sequence: 201, Ack: 700, Ends: true}, signal: inflight.Signal{Answered: true}},
		},
		"sequence numbers wrap": {
			{sent: inflight.Segment{Sequence: 1<<32 - 100, Ack: 1<<32 - 1}},
			{at: 1 * ms, sent: inflight.Segment{Sequence: 1<<32 - 100, Ack: 1<<32 - 1, Length: 200}, running: 1},
			{at: 2 * ms, sent: inflight.Segment{Sequence: 100, Ack: 500}, signal: inflight.Signal{Answered: true}},
		},
	}
	for name, packets := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTracker()
			for i, p := range packets {
				p.sent.Flow, p.sent.Token = flowID, token
				signal := r.Observe(start.Add(p.at), p.sent)
				if diff := cmp.Diff(p.signal, signal); diff != "" {
					t.Errorf("packet %d: %s", i, diff)
				}
				if got := r.Target(token).Running(); got != p.running {
					t.Errorf("packet %d: %d run, want %d", i, got, p.running)
				}
			}
		})
	}
}

// Guards against a target that never answers and so looks idle.
func TestOpeningFlowsCount(t *testing.T) {
	r := newTracker()
	r.RecordOpen(start, flowID, r.Target(token))
	if got := r.Target(token).Running(); got != 1 {
		t.Fatalf("%d run after the SYN, want 1", got)
	}
	chosen, sent, ok := r.OpeningTarget(flowID)
	if !ok || chosen.Token != token || !sent.Equal(start) {
		t.Errorf("choice %v sent at %v", chosen, sent)
	}
	signal := r.Observe(start.Add(2*time.Millisecond), inflight.Segment{Flow: flowID, Token: token, Sequence: 1, Ack: 50})
	if !signal.Answered || r.Target(token).Running() != 0 {
		t.Errorf("after the handshake: %+v, %d run", signal, r.Target(token).Running())
	}
	if _, _, ok := r.OpeningTarget(flowID); ok {
		t.Error("an open flow still counts as opening")
	}
}

// Guards against an average that forgets at once or never.
func TestLoadIsAveraged(t *testing.T) {
	r := newTracker()
	r.RecordOpen(start, flowID, r.Target(token))
	r.Observe(start.Add(200*time.Millisecond), inflight.Segment{Flow: flowID, Token: token, Sequence: 1, Ack: 50})
	got := r.Load(start.Add(200*time.Millisecond), r.Target(token))
	if got < 0.09 || got > 0.11 {
		t.Errorf("load %.3f after one request of 0.2 s in 2 s, want about 0.1", got)
	}
	if got := r.Load(start.Add(5*time.Second), r.Target(token)); got != 0 {
		t.Errorf("load %.3f after a long rest, want 0", got)
	}
}

// Guards against memory without a bound.
func TestFlowsAreBounded(t *testing.T) {
	r := newTracker()
	for i := range 100 {
		r.RecordOpen(start, pimentospread.FlowID(i), r.Target(token))
	}
	if got := r.Target(token).Running(); got != 4 {
		t.Errorf("%d flows are tracked, want 4", got)
	}
	r.Observe(start.Add(2*time.Minute), inflight.Segment{Flow: 200, Token: token, Ends: true})
	r.RecordOpen(start.Add(2*time.Minute), 300, r.Target(token))
	if _, _, ok := r.OpeningTarget(300); !ok {
		t.Error("silent flows still take the room of new ones")
	}
}
