package tokenfront

import (
	"testing"
	"time"

	"pimentospread"
)

// Guards against a request that no log names although its host had nothing to
// do, and against usual lines that use up the room of unusual ones.
func TestFlowSampleFollowsTheLoad(t *testing.T) {
	tests := map[string]struct {
		decisions   int // of each second
		least, most int // lines of the last second
		share       pimentospread.FlowID
	}{
		"few flows are all logged":                {8, 8, 8, 1},
		"more flows are logged in part":           {100, 3, 2 * usualLines, 16},
		"many flows at the share of the settings": {100_000, 1500, 1700, 64},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFlowSample(64)
			lines, id := 0, pimentospread.FlowID(0)
			for second := range 20 {
				lines = 0
				for i := range tc.decisions {
					id = id*6364136223846793005 + 1442695040888963407
					now := time.Unix(int64(1000+second), int64(i)*int64(time.Second)/int64(tc.decisions))
					if f.take(now, id>>20) {
						lines++
					}
				}
			}
			if lines < tc.least || lines > tc.most {
				t.Errorf("%d lines in the last second, want %d to %d", lines, tc.least, tc.most)
			}
			if f.share > tc.share {
				t.Errorf("share %d, want %d at most", f.share, tc.share)
			}
		})
	}
}

// Guards against hosts with different shares that keep different flows.
func TestFlowKeptByABusyHostIsKeptByOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, most := range []pimentospread.FlowID{1, 2, 64, 100} {
		for id := range pimentospread.FlowID(1000) {
			busy, other := newFlowSample(most), newFlowSample(most)
			busy.share = busy.most
			for other.share = 1; other.share < busy.share; other.share *= 2 {
				if busy.take(now, id) && !other.take(now, id) {
					t.Errorf("flow %d is kept at share %d and not at %d", id, busy.share, other.share)
				}
			}
		}
	}
}
