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

// Guards against stand-ins that break flows or report broken ones as held: a
// broken flow in a demo has to be a fault of the load balancer or the fabric.
func TestFlowsSurviveLossDuplicationAndDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.IntRange(0, 30).Draw(t, "fault percentage")
		// Rapid favours small numbers, so the faults are drawn from a uniform generator.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		occurs := func() bool { return random.IntN(100) < faults }
		callerFlows, targetFlows := caller.NewFlows(plan(t), epoch), target.NewFlows(100, time.Second)
		var toTarget, toCaller []packet.Datagram
		deliver := func(queue []packet.Datagram, receive func(packet.Datagram)) {
			for len(queue) > 0 {
				i := 0
				if occurs() {
					i = len(queue) - 1
				}
				d := queue[i]
				queue = append(queue[:i], queue[i+1:]...)
				if occurs() {
					continue
				}
				receive(d)
				if occurs() {
					receive(d)
				}
			}
		}
		for now := epoch; now.Before(epoch.Add(60 * time.Second)); now = now.Add(500 * time.Millisecond) {
			if now.Equal(epoch.Add(15 * time.Second)) {
				callerFlows.Probe(now, time.Second)
			}
			toTarget = append(toTarget, datagrams(callerFlows.Step(now, nil))...)
			toCaller = append(toCaller, datagrams(targetFlows.Updates(now, nil))...)
			for len(toTarget)+len(toCaller) > 0 {
				sent := toTarget
				toTarget = nil
				deliver(sent, func(d packet.Datagram) { toCaller = append(toCaller, datagrams(targetFlows.Receive(now, d, nil))...) })
				sent = toCaller
				toCaller = nil
				deliver(sent, func(d packet.Datagram) { toTarget = append(toTarget, datagrams(callerFlows.Receive(now, d, nil))...) })
			}
		}
		got := callerFlows.Counts()[0]
		if got.Broken != 0 || got.Held+got.Refused != 5 || !callerFlows.Finished() {
			t.Fatalf("got %+v, want 5 flows that are held or refused and none broken", got)
		}
		if faults == 0 && got.Held != 5 {
			t.Fatalf("without faults: got %+v, want 5 held flows", got)
		}
	})
}

// Guards against a caller that reports a flow as held although it was reset or
// the target no longer answers.
func TestFlowsDetectResetAndSilence(t *testing.T) {
	tests := map[string]struct {
		interrupt func(flows *target.Flows) *target.Flows
		want      ledger.FlowCounts
	}{
		"reset":   {func(*target.Flows) *target.Flows { return target.NewFlows(100, time.Second) }, ledger.FlowCounts{Service: "desk", Opened: 5, Broken: 5, Reset: 5}},
		"silence": {func(flows *target.Flows) *target.Flows { flows.Silence(); return flows }, ledger.FlowCounts{Service: "desk", Opened: 5, Broken: 5, Silent: 5}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			callerFlows, targetFlows := caller.NewFlows(plan(t), epoch), target.NewFlows(100, time.Hour)
			for second := range 60 {
				now := epoch.Add(time.Duration(second) * time.Second)
				if second == 10 {
					targetFlows = tt.interrupt(targetFlows)
				}
				toTarget := datagrams(callerFlows.Step(now, nil))
				for len(toTarget) > 0 {
					var toCaller []packet.Segment
					for _, d := range toTarget {
						toCaller = targetFlows.Receive(now, d, toCaller)
					}
					var answers []packet.Segment
					for _, d := range datagrams(toCaller) {
						answers = callerFlows.Receive(now, d, answers)
					}
					toTarget = datagrams(answers)
				}
			}
			if diff := cmp.Diff([]ledger.FlowCounts{tt.want}, callerFlows.Counts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a ledger without the wrong, incomplete or contradictory replies of a run.
func TestRequestRecords(t *testing.T) {
	content := func(q request.Request, size int) []byte { return ledger.AnswerContent(q.ID, size) }
	answer := func(q request.Request, number uint32, more bool, payload []byte) request.Reply {
		return request.Reply{Origin: q.Origin, Part: request.Part{Number: number, More: more, Tag: []byte("run"), Payload: payload}}
	}
	tests := map[string]struct {
		replies func(q request.Request) []request.Reply
		want    ledger.RequestRecord
	}{
		"no reply": {func(request.Request) []request.Reply { return nil }, ledger.RequestRecord{Told: ledger.NoReply}},
		"parts out of order": {func(q request.Request) []request.Reply {
			return []request.Reply{answer(q, 1, false, content(q, 10)[6:]), answer(q, 0, true, content(q, 10)[:6])}
		}, ledger.RequestRecord{Told: ledger.Answered}},
		"missing part":     {func(q request.Request) []request.Reply { return []request.Reply{answer(q, 1, false, nil)} }, ledger.RequestRecord{Told: ledger.NoReply}},
		"truncated answer": {func(q request.Request) []request.Reply { return []request.Reply{answer(q, 0, false, content(q, 9))} }, ledger.RequestRecord{Told: ledger.Answered, Wrong: true}},
		"not run, then answered": {func(q request.Request) []request.Reply {
			return []request.Reply{{Origin: q.Origin, Outcome: request.NotRun}, answer(q, 0, false, content(q, 10))}
		}, ledger.RequestRecord{Told: ledger.NotRun, Contradicted: true}},
		"unknown, then answered": {func(q request.Request) []request.Reply {
			return []request.Reply{{Origin: q.Origin, Outcome: request.Unknown}, answer(q, 0, false, content(q, 10))}
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
			for _, reply := range tt.replies(q) {
				r.Receive(now, sent[0].From, reply)
			}
			r.Step(now.Add(time.Minute), false, nil)
			got := r.Records()[0]
			if diff := cmp.Diff(tt.want, ledger.RequestRecord{Told: got.Told, Wrong: got.Wrong, Contradicted: got.Contradicted}); diff != "" || r.Pending() != 0 {
				t.Errorf("%d pending requests, want 0; record: %s", r.Pending(), diff)
			}
		})
	}
}

// Guards against a caller that never withdraws a request, so that no demo exercises cancellation.
func TestWithdrawalAfterCancelAfter(t *testing.T) {
	p := plan(t)
	p.Requests[0].CancelAfter.Duration = time.Second
	r := caller.NewRequests(p, epoch)
	r.Step(epoch.Add(time.Second), true, nil)
	sent := r.Step(epoch.Add(2*time.Second), false, nil)
	if len(sent) != 1 || !sent[0].Request.Cancelled || r.Records()[0].Told != ledger.Withdrawn || r.Pending() != 0 {
		t.Errorf("got transmissions %+v and records %+v, want one withdrawal and no pending request", sent, r.Records())
	}
}

// Guards against a caller that retransmits a request which a host has already
// acknowledged, so that other hosts process the request as well.
func TestAcknowledgementDelaysRetransmission(t *testing.T) {
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

// Guards against plans that exceed the limits of one machine, and against typing
// errors in a plan that would start no flows or requests.
func TestDecodePlanRefusesInvalidPlans(t *testing.T) {
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
