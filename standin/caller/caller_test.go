package caller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread/packet"
	"pimentospread/request"
	"pimentospread/standin/caller"
	"pimentospread/standin/ledger"
	"pimentospread/standin/target"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_000_000)

const planText = `{
	"Services": [{"Name": "desk", "Address": "192.0.2.10:443", "Flows": 5}],
	"Requests": [{"Class": "bid", "Service": "desk", "Rate": 1, "Deadline": "3s"}],
	"Callers": 2, "OpenRate": 5, "KeepAlive": "1s", "SilentAfter": "20s", "Duration": "20s", "AnswerSize": 10
}`

func plan(t interface{ Fatal(...any) }) caller.Plan {
	p, err := caller.DecodePlan([]byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func datagrams(segments []packet.Segment) []packet.Datagram {
	var all []packet.Datagram
	for _, s := range segments {
		all = append(all, packet.Datagram{
			From: s.From, To: s.To, Flags: s.Flags, Sequence: s.Sequence,
			Acknowledgement: s.Acknowledgement, Payload: s.Payload, Protocol: packet.TCP,
		})
	}
	return all
}

// Guards against stand-ins that break or hold flows by themselves, so that a
// broken flow in a demo is always the fault of what stands between them.
func TestFlowsSurviveLossDuplicationAndDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.IntRange(0, 30).Draw(t, "faults in a hundred")
		// Rapid favours small numbers, so the faults themselves come from a plain source.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		happens := func() bool { return random.IntN(100) < faults }
		f, g := caller.NewFlows(plan(t), epoch), target.NewFlows(100, time.Second)
		var up, down []packet.Datagram
		carry := func(from []packet.Datagram, to func(packet.Datagram)) {
			for len(from) > 0 {
				i := 0
				if happens() {
					i = len(from) - 1
				}
				d := from[i]
				from = append(from[:i], from[i+1:]...)
				if happens() {
					continue
				}
				to(d)
				if happens() {
					to(d)
				}
			}
		}
		for now := epoch; now.Before(epoch.Add(60 * time.Second)); now = now.Add(500 * time.Millisecond) {
			if now.Equal(epoch.Add(15 * time.Second)) {
				f.Probe(now, time.Second)
			}
			up = append(up, datagrams(f.Step(now, nil))...)
			down = append(down, datagrams(g.Updates(now, nil))...)
			for len(up)+len(down) > 0 {
				sent := up
				up = nil
				carry(sent, func(d packet.Datagram) { down = append(down, datagrams(g.Receive(now, d, nil))...) })
				sent = down
				down = nil
				carry(sent, func(d packet.Datagram) { up = append(up, datagrams(f.Receive(now, d, nil))...) })
			}
		}
		got := f.Counts()[0]
		if got.Broken != 0 || got.Held+got.Refused != 5 || !f.Finished() {
			t.Fatalf("got %+v", got)
		}
		if faults == 0 && got.Held != 5 {
			t.Fatalf("without faults: got %+v", got)
		}
	})
}

// Guards against a caller that does not notice that its flow is gone.
func TestFlowsNoticeResetAndSilence(t *testing.T) {
	tests := map[string]struct {
		disturb func(g *target.Flows) *target.Flows
		want    ledger.FlowCounts
	}{
		"reset":   {func(*target.Flows) *target.Flows { return target.NewFlows(100, time.Second) }, ledger.FlowCounts{Service: "desk", Opened: 5, Broken: 5, Reset: 5}},
		"silence": {func(g *target.Flows) *target.Flows { g.Silence(); return g }, ledger.FlowCounts{Service: "desk", Opened: 5, Broken: 5, Silent: 5}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f, g := caller.NewFlows(plan(t), epoch), target.NewFlows(100, time.Hour)
			for s := range 60 {
				now := epoch.Add(time.Duration(s) * time.Second)
				if s == 10 {
					g = tt.disturb(g)
				}
				up := datagrams(f.Step(now, nil))
				for len(up) > 0 {
					var down []packet.Segment
					for _, d := range up {
						down = g.Receive(now, d, down)
					}
					var answers []packet.Segment
					for _, d := range datagrams(down) {
						answers = f.Receive(now, d, answers)
					}
					up = datagrams(answers)
				}
			}
			if diff := cmp.Diff([]ledger.FlowCounts{tt.want}, f.Counts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a ledger that hides a wrong, incomplete or contradictory reply.
func TestRepliesBecomeLedgerEntries(t *testing.T) {
	content := func(q request.Request, size int) []byte { return ledger.AnswerContent(q.ID, size) }
	answered := func(q request.Request, number uint32, more bool, payload []byte) request.Reply {
		return request.Reply{Origin: q.Origin, Part: request.Part{Number: number, More: more, Tag: []byte("run"), Payload: payload}}
	}
	tests := map[string]struct {
		replies func(q request.Request) []request.Reply
		want    ledger.RequestRecord
	}{
		"no reply": {func(request.Request) []request.Reply { return nil }, ledger.RequestRecord{Told: ledger.NoReply}},
		"parts out of order": {func(q request.Request) []request.Reply {
			return []request.Reply{answered(q, 1, false, content(q, 10)[6:]), answered(q, 0, true, content(q, 10)[:6])}
		}, ledger.RequestRecord{Told: ledger.Answered}},
		"missing part":     {func(q request.Request) []request.Reply { return []request.Reply{answered(q, 1, false, nil)} }, ledger.RequestRecord{Told: ledger.NoReply}},
		"truncated answer": {func(q request.Request) []request.Reply { return []request.Reply{answered(q, 0, false, content(q, 9))} }, ledger.RequestRecord{Told: ledger.Answered, Wrong: true}},
		"not run, then answered": {func(q request.Request) []request.Reply {
			return []request.Reply{{Origin: q.Origin, Outcome: request.NotRun}, answered(q, 0, false, content(q, 10))}
		}, ledger.RequestRecord{Told: ledger.NotRun, Contradicted: true}},
		"unknown, then answered": {func(q request.Request) []request.Reply {
			return []request.Reply{{Origin: q.Origin, Outcome: request.Unknown}, answered(q, 0, false, content(q, 10))}
		}, ledger.RequestRecord{Told: ledger.Unknown}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := caller.NewRequests(plan(t), epoch)
			now := epoch.Add(time.Second)
			sent := r.Step(now, true, nil)
			if len(sent) != 1 {
				t.Fatalf("got %d transmissions, want 1", len(sent))
			}
			q := sent[0].Request
			for _, p := range tt.replies(q) {
				r.Receive(now, sent[0].From, p)
			}
			r.Step(now.Add(time.Minute), false, nil)
			got := r.Records()[0]
			if diff := cmp.Diff(tt.want, ledger.RequestRecord{Told: got.Told, Wrong: got.Wrong, Contradicted: got.Contradicted}); diff != "" || r.Pending() != 0 {
				t.Errorf("%d pending: %s", r.Pending(), diff)
			}
		})
	}
}

// Guards against a caller that cannot withdraw, which would leave cancellation untried.
func TestRequestsAreWithdrawn(t *testing.T) {
	p := plan(t)
	p.Requests[0].CancelAfter.Duration = time.Second
	r := caller.NewRequests(p, epoch)
	r.Step(epoch.Add(time.Second), true, nil)
	sent := r.Step(epoch.Add(2*time.Second), false, nil)
	if len(sent) != 1 || !sent[0].Request.Cancelled || r.Records()[0].Told != ledger.Withdrawn || r.Pending() != 0 {
		t.Errorf("got %+v and %+v", sent, r.Records())
	}
}

// Guards against a caller that goes on retransmitting a request which a host
// has acknowledged, so that other hosts take it up as well.
func TestAcknowledgedRequestsAreNotSentAgainSoon(t *testing.T) {
	for acknowledged, want := range map[bool]int{true: 0, false: 1} {
		p := plan(t)
		p.Requests[0].Deadline.Duration = 10 * time.Second
		r := caller.NewRequests(p, epoch)
		sent := r.Step(epoch.Add(time.Second), true, nil)
		if acknowledged {
			r.Acknowledge(epoch.Add(time.Second), sent[0].From, sent[0].Request.Origin.MessageID)
		}
		if got := len(r.Step(epoch.Add(4*time.Second), false, nil)); got != want {
			t.Errorf("acknowledged %t: got %d transmissions, want %d", acknowledged, got, want)
		}
	}
}

// Guards against plans that start more than a machine can take, or nothing at all.
func TestDecodePlanRefuses(t *testing.T) {
	for _, text := range []string{
		`{"Flows": 1}`,
		`{"Services": [{"Name": "s", "Address": "192.0.2.10:443", "Flows": 1000000}]}`,
		`{"Requests": [{"Class": "bid", "Service": "missing", "Rate": 1, "Deadline": "3s"}]}`,
		`{"Duration": "9h"}`,
	} {
		if _, err := caller.DecodePlan([]byte(text)); err == nil {
			t.Errorf("%s: got no error", text)
		}
	}
}
