package tokenfront

import (
	"testing"
	"time"

	"pimentospread"
)

// Guards against requests that no host logs although the load is low, and against
// routine log lines that use up the budget of unusual ones.
func TestFlowSamplerAdaptsToLoad(t *testing.T) {
	tests := map[string]struct {
		decisions          int // per second
		minLines, maxLines int // in the last second
		divisor            pimentospread.FlowID
	}{
		"few flows are all logged":              {8, 8, 8, 1},
		"a part of more flows is logged":        {100, 3, 2 * maxRoutineLines, 16},
		"many flows reach the configured limit": {100_000, 1500, 1700, 64},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFlowSampler(64)
			lines, id := 0, pimentospread.FlowID(0)
			for second := range 20 {
				lines = 0
				for i := range tc.decisions {
					id = id*6364136223846793005 + 1442695040888963407
					now := time.Unix(int64(1000+second), int64(i)*int64(time.Second)/int64(tc.decisions))
					if f.keep(now, id>>20) {
						lines++
					}
				}
			}
			if lines < tc.minLines || lines > tc.maxLines {
				t.Errorf("%d lines in the last second, want between %d and %d", lines, tc.minLines, tc.maxLines)
			}
			if f.divisor > tc.divisor {
				t.Errorf("divisor %d, want at most %d", f.divisor, tc.divisor)
			}
		})
	}
}

// Guards against hosts with different divisors that sample different flows.
func TestHostsSampleTheSameFlows(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, limit := range []pimentospread.FlowID{1, 2, 64, 100} {
		for id := range pimentospread.FlowID(1000) {
			busy, other := newFlowSampler(limit), newFlowSampler(limit)
			busy.divisor = busy.maxDivisor
			for other.divisor = 1; other.divisor < busy.divisor; other.divisor *= 2 {
				if busy.keep(now, id) && !other.keep(now, id) {
					t.Errorf("flow %d is sampled at divisor %d but not at %d", id, busy.divisor, other.divisor)
				}
			}
		}
	}
}
