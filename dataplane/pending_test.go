package dataplane

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
)

// Guards against a lower ranked holder that has an older record and answers
// first, and against a default while a holder may still have a record.
func TestFoundGoesByTheRankOfHolders(t *testing.T) {
	given := func(target pimentospread.TargetID) holderAnswer {
		return holderAnswer{state: answerGiven, target: target}
	}
	waiting, missed, lost := holderAnswer{state: answerWaiting}, holderAnswer{state: answerMissed}, holderAnswer{state: answerLost}
	type verdict struct {
		Target pimentospread.TargetID
		Cause  DropCause
		Done   bool
	}
	tests := map[string]struct {
		answers []holderAnswer
		want    verdict
	}{
		"a lower rank waits for the first":     {[]holderAnswer{waiting, given(3)}, verdict{}},
		"the first record decides":             {[]holderAnswer{given(5), given(3)}, verdict{Target: 5, Done: true}},
		"the first has none":                   {[]holderAnswer{given(0), given(3)}, verdict{Target: 3, Done: true}},
		"the first is silent":                  {[]holderAnswer{missed, given(3)}, verdict{Target: 3, Done: true}},
		"the first is gone":                    {[]holderAnswer{lost, given(3), waiting}, verdict{Target: 3, Done: true}},
		"all have none":                        {[]holderAnswer{given(0), given(0)}, verdict{Done: true}},
		"one is silent and the rest have none": {[]holderAnswer{given(0), missed}, verdict{Cause: DropNoAnswer, Done: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := &heldFlow{answers: tc.answers}
			var got verdict
			got.Target, got.Cause, got.Done = h.found()
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
