package outlier_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/outlier"
)

const target = 7

type step struct {
	at time.Duration
	// event is "answered", "answered before" (300 ms before or later), "retransmitted"
	// (sent 200 ms before), "tried" or empty.
	event string
	// suspected and trialDue are the expected state after the event.
	suspected, trialDue bool
}

// Guards against targets that are suspected because of one lost packet, that
// stay suspected although they answer, or that are never tried again.
func TestSuspicion(t *testing.T) {
	tests := map[string][]step{
		"an unresponsive target is suspected at the first retransmission": {
			{event: "retransmitted", suspected: true},
		},
		"a packet to a target that answers other callers is lost": {
			{at: 0, event: "answered"},
			{at: 100 * time.Millisecond, event: "retransmitted"},
			{at: 400 * time.Millisecond, event: "retransmitted", suspected: true},
		},
		"an answer ends the suspicion": {
			{event: "retransmitted", suspected: true},
			{at: time.Millisecond, event: "answered"},
		},
		"an answer that may be older than the unanswered packet does not end the suspicion": {
			{event: "retransmitted", suspected: true},
			{at: 50 * time.Millisecond, event: "answered before", suspected: true},
			{at: 150 * time.Millisecond, event: "answered before"},
		},
		"an answer that may be older than a packet does not show that the packet was lost": {
			{at: 0, event: "answered before"},
			{at: 0, event: "retransmitted", suspected: true},
		},
		"the trial interval doubles up to the maximum": {
			{event: "retransmitted", suspected: true},
			{at: time.Second, event: "", suspected: true, trialDue: true},
			{at: time.Second, event: "tried", suspected: true},
			{at: 2900 * time.Millisecond, event: "", suspected: true},
			{at: 3 * time.Second, event: "tried", suspected: true},
			{at: 6900 * time.Millisecond, event: "", suspected: true},
			{at: 7 * time.Second, event: "tried", suspected: true},
			{at: 10900 * time.Millisecond, event: "", suspected: true},
			{at: 11 * time.Second, event: "", suspected: true, trialDue: true},
		},
		"a new suspicion starts with the shortest interval": {
			{event: "retransmitted", suspected: true},
			{at: time.Second, event: "tried", suspected: true},
			{at: 2 * time.Second, event: "answered"},
			{at: 3 * time.Second, event: "retransmitted", suspected: true},
			{at: 4 * time.Second, event: "", suspected: true, trialDue: true},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			d := outlier.New(outlier.Config{MinTrialInterval: time.Second, MaxTrialInterval: 4 * time.Second})
			for i, s := range steps {
				now := start.Add(s.at)
				switch s.event {
				case "answered":
					d.RecordAnswer(now, target)
				case "answered before":
					d.RecordAnswer(now.Add(-300*time.Millisecond), target)
				case "retransmitted":
					d.RecordRetransmission(now, target, now.Add(-200*time.Millisecond))
				case "tried":
					d.RecordTrial(now, d.Target(target))
				}
				got := []bool{d.Target(target).Suspected(), d.Target(target).TrialDue(now)}
				if diff := cmp.Diff([]bool{s.suspected, s.trialDue}, got); diff != "" {
					t.Errorf("step %d: suspected and trial due (-want +got): %s", i, diff)
				}
			}
		})
	}
}

// Guards against memory that grows with every target that ever existed.
func TestRetainDropsOtherTargets(t *testing.T) {
	d := outlier.New(outlier.Config{MinTrialInterval: time.Second, MaxTrialInterval: time.Second})
	now := time.Unix(1, 0)
	d.RecordRetransmission(now, target, now)
	d.Retain(func(pimentospread.Token) bool { return false })
	if d.Target(target).Suspected() {
		t.Error("a dropped target is still suspected")
	}
}
