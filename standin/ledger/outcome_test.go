package ledger_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/standin/ledger"
)

func id(n uint64) pimentospread.RequestID { return pimentospread.RequestID{Caller: 1, Sequence: n} }

// Guards against a demo that passes although an invariant was violated.
func TestViolations(t *testing.T) {
	request := func(n uint64, result ledger.Result, change func(*ledger.RequestRecord)) ledger.RequestRecord {
		record := ledger.RequestRecord{Request: id(n), Class: "bid", Told: result}
		if change != nil {
			change(&record)
		}
		return record
	}
	run := func(n uint64) ledger.Run { return ledger.Run{Request: id(n), Class: "bid"} }
	tests := map[string]struct {
		requests []ledger.RequestRecord
		flows    ledger.FlowCounts
		target   ledger.Target
		want     []string
	}{
		"answered once":                  {requests: []ledger.RequestRecord{request(1, ledger.Answered, nil)}, target: ledger.Target{Runs: []ledger.Run{run(1)}}},
		"unknown with a run":             {requests: []ledger.RequestRecord{request(1, ledger.Unknown, nil)}, target: ledger.Target{Runs: []ledger.Run{run(1)}}},
		"run twice":                      {[]ledger.RequestRecord{request(1, ledger.Answered, nil)}, ledger.FlowCounts{}, ledger.Target{Runs: []ledger.Run{run(1), run(1)}}, []string{"1 non-idempotent requests run twice"}},
		"idempotent run twice":           {requests: []ledger.RequestRecord{request(1, ledger.Answered, func(a *ledger.RequestRecord) { a.Idempotent = true })}, target: ledger.Target{Runs: []ledger.Run{run(1), run(1)}}},
		"not run with a run":             {[]ledger.RequestRecord{request(1, ledger.NotRun, nil)}, ledger.FlowCounts{}, ledger.Target{Runs: []ledger.Run{run(1)}}, []string{"1 requests that ran although they were reported as not run"}},
		"answered without a run":         {[]ledger.RequestRecord{request(1, ledger.Answered, nil)}, ledger.FlowCounts{}, ledger.Target{}, []string{"1 answered requests of class bid without a run at any target"}},
		"wrong answer and contradiction": {[]ledger.RequestRecord{request(1, ledger.Unknown, func(a *ledger.RequestRecord) { a.Wrong, a.Contradicted = true, true })}, ledger.FlowCounts{}, ledger.Target{}, []string{"1 wrong or incomplete answers", "1 requests with contradictory replies"}},
		"broken flows":                   {nil, ledger.FlowCounts{Service: "s", Opened: 3, Held: 1, Broken: 2}, ledger.Target{}, []string{"2 broken flows to s"}},
		"misdelivered and late":          {nil, ledger.FlowCounts{Service: "s", Opened: 1, Held: 1}, ledger.Target{Misdelivered: 4, Late: 5}, []string{"4 misdelivered packets", "5 flows or requests started at a draining target after the grace period"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := ledger.Caller{Requests: tt.requests, Flows: []ledger.FlowCounts{tt.flows}}
			if diff := cmp.Diff(tt.want, ledger.Compare([]ledger.Caller{c}, []ledger.Target{tt.target}).Violations()); diff != "" {
				t.Error(diff)
			}
		})
	}
	if violations := ledger.Compare(nil, nil).Violations(); len(violations) == 0 {
		t.Error("empty run: got no violation, want one")
	}
}

// Guards against an imbalance that includes targets which accept no new flows.
func TestImbalanceLeavesOutDrainingTargets(t *testing.T) {
	targets := []ledger.Target{{Service: "s", Flows: 30}, {Service: "s", Flows: 10}, {Service: "s", Flows: 500, Draining: true}}
	want := []ledger.Imbalance{{Service: "s", Targets: 2, Largest: 30, Mean: 20, Ratio: 1.5}}
	if diff := cmp.Diff(want, ledger.Compare(nil, targets).Imbalance); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests that are counted in the wrong phase, and against times
// that include requests without an answer.
func TestPhaseOutcomes(t *testing.T) {
	request := func(at, took time.Duration, result ledger.Result) ledger.RequestRecord {
		return ledger.RequestRecord{Class: "map", Told: result, At: pimentospread.Duration{Duration: at}, Took: pimentospread.Duration{Duration: took}}
	}
	c := ledger.Caller{Requests: []ledger.RequestRecord{
		request(0, time.Second, ledger.Answered), request(time.Second, time.Second, ledger.Answered),
		request(2*time.Second, 3*time.Second, ledger.Answered), request(2*time.Second, time.Second, ledger.NotRun), request(9*time.Second, time.Second, ledger.Answered),
	}}
	var phases []ledger.Phase
	for _, text := range []string{"before=0s-2s", "flood=2s-4s", "after=4s-5s"} {
		phase, err := ledger.ParsePhase(text)
		if err != nil {
			t.Fatal(err)
		}
		phases = append(phases, phase)
	}
	one, three := pimentospread.Duration{Duration: time.Second}, pimentospread.Duration{Duration: 3 * time.Second}
	want := []ledger.PhaseOutcome{
		{Phase: "before", Class: "map", Asked: 2, Answered: 2, Share: 1, Median: one, Slowest: one},
		{Phase: "flood", Class: "map", Asked: 2, Answered: 1, Share: 0.5, Median: three, Slowest: three},
	}
	if diff := cmp.Diff(want, ledger.PhaseOutcomes([]ledger.Caller{c}, phases)); diff != "" {
		t.Error(diff)
	}
	for _, text := range []string{"", "flood", "=1s-2s", "flood=2s-1s", "flood=1-2"} {
		if _, err := ledger.ParsePhase(text); err == nil {
			t.Errorf("phase %q: got no error", text)
		}
	}
}
