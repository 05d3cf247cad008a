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
	// do is "answered", "repeated" (sent 200 ms before) or "tried".
	do string
	// doubted and due are what the register says afterwards.
	doubted, due bool
}

// Guards against targets that are doubted for a lost packet, that stay in doubt
// although they answer, and that are never tried again.
func TestDoubt(t *testing.T) {
	tests := map[string][]step{
		"a silent target is doubted at the first repetition": {
			{do: "repeated", doubted: true},
		},
		"a packet lost on the way to a target that answers others": {
			{at: 0, do: "answered"},
			{at: 100 * time.Millisecond, do: "repeated"},
			{at: 400 * time.Millisecond, do: "repeated", doubted: true},
		},
		"an answer ends the doubt": {
			{do: "repeated", doubted: true},
			{at: time.Millisecond, do: "answered"},
		},
		"trials become rarer up to a bound": {
			{do: "repeated", doubted: true},
			{at: time.Second, do: "", doubted: true, due: true},
			{at: time.Second, do: "tried", doubted: true},
			{at: 2900 * time.Millisecond, do: "", doubted: true},
			{at: 3 * time.Second, do: "tried", doubted: true},
			{at: 6900 * time.Millisecond, do: "", doubted: true},
			{at: 7 * time.Second, do: "tried", doubted: true},
			{at: 10900 * time.Millisecond, do: "", doubted: true},
			{at: 11 * time.Second, do: "", doubted: true, due: true},
		},
		"a new doubt begins with the shortest pause": {
			{do: "repeated", doubted: true},
			{at: time.Second, do: "tried", doubted: true},
			{at: 2 * time.Second, do: "answered"},
			{at: 3 * time.Second, do: "repeated", doubted: true},
			{at: 4 * time.Second, do: "", doubted: true, due: true},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			r := outlier.New(outlier.Config{MinTrialInterval: time.Second, MaxTrialInterval: 4 * time.Second})
			for i, s := range steps {
				now := start.Add(s.at)
				switch s.do {
				case "answered":
					r.RecordAnswer(now, target)
				case "repeated":
					r.RecordRetransmission(now, target, now.Add(-200*time.Millisecond))
				case "tried":
					r.RecordTrial(now, r.Target(target))
				}
				got := []bool{r.Target(target).Suspected(), r.Target(target).TrialDue(now)}
				if diff := cmp.Diff([]bool{s.doubted, s.due}, got); diff != "" {
					t.Errorf("step %d: %s", i, diff)
				}
			}
		})
	}
}

// Guards against memory that grows with every target that ever existed.
func TestRetainForgets(t *testing.T) {
	r := outlier.New(outlier.Config{MinTrialInterval: time.Second, MaxTrialInterval: time.Second})
	now := time.Unix(1, 0)
	r.RecordRetransmission(now, target, now)
	r.Retain(func(pimentospread.Token) bool { return false })
	if r.Target(target).Suspected() {
		t.Error("a target that was dropped is still doubted")
	}
}
