package dataplane

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
)

// TestQueriedTargetFollowsHolderRank guards against using the older record of a
// lower-ranked holder that replies first, and against using the default target while
// a holder may have a record.
func TestQueriedTargetFollowsHolderRank(t *testing.T) {
	given := func(target pimentospread.TargetID) holderAnswer {
		return holderAnswer{state: answerReceived, target: target}
	}
	waiting, missed, lost := holderAnswer{state: answerWaiting}, holderAnswer{state: answerTimedOut}, holderAnswer{state: answerHostLost}
	type verdict struct {
		Target pimentospread.TargetID
		Cause  DropCause
		Done   bool
	}
	tests := map[string]struct {
		answers []holderAnswer
		want    verdict
	}{
		"lower-ranked reply before the first":                   {[]holderAnswer{waiting, given(3)}, verdict{}},
		"first record wins":                                     {[]holderAnswer{given(5), given(3)}, verdict{Target: 5, Done: true}},
		"first holder has no record":                            {[]holderAnswer{given(0), given(3)}, verdict{Target: 3, Done: true}},
		"first holder does not reply":                           {[]holderAnswer{missed, given(3)}, verdict{Target: 3, Done: true}},
		"first holder is no longer live":                        {[]holderAnswer{lost, given(3), waiting}, verdict{Target: 3, Done: true}},
		"no holder has a record":                                {[]holderAnswer{given(0), given(0)}, verdict{Done: true}},
		"one holder does not reply and the rest have no record": {[]holderAnswer{given(0), missed}, verdict{Cause: DropNoAnswer, Done: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pending := &pendingFlow{answers: tc.answers}
			var got verdict
			got.Target, got.Cause, got.Done = pending.queriedTarget()
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
