package tokenfront

import (
	"math/bits"
	"time"

	"pimentospread"
)

// maxRoutineLines is the number of lines per second about routine decisions. Log lines
// grow the heap of an idle host until its first garbage collection: 60 lines per
// second doubled the memory of a host within a minute.
const maxRoutineLines = 10

// flowSampler selects the flows whose routine decisions are logged. It selects one flow
// in divisor, the same flows on every host with the same divisor. The divisor adapts
// to the number of lines, so that a host with few flows logs all of them. Divisors are
// powers of two, so that a flow selected at one divisor is selected at each smaller one.
type flowSampler struct {
	// maxDivisor limits the divisor.
	maxDivisor, divisor pimentospread.FlowID
	second              int64
	// seen counts the routine decisions of the second, and logged the selected ones since
	// the divisor last grew.
	seen, logged int
}

// newFlowSampler returns a sampler whose divisor is at most the largest power of two
// up to the given limit.
func newFlowSampler(limit pimentospread.FlowID) flowSampler {
	return flowSampler{maxDivisor: 1 << (bits.Len64(uint64(limit)) - 1), divisor: 1}
}

// keep reports whether a routine decision on the flow is logged. It counts the
// decision and adapts the divisor.
func (f *flowSampler) keep(now time.Time, id pimentospread.FlowID) bool {
	if s := now.Unix(); s != f.second {
		f.adapt()
		f.second, f.seen, f.logged = s, 0, 0
	}
	f.seen++
	if id%f.divisor != 0 {
		return false
	}
	if f.logged++; f.logged > maxRoutineLines {
		f.divisor, f.logged = min(2*f.divisor, f.maxDivisor), 0
	}
	return true
}

// adapt halves the divisor if the lines of the last second would have stayed within
// the limit.
func (f *flowSampler) adapt() {
	if f.divisor > 1 && 2*f.seen/int(f.divisor) <= maxRoutineLines {
		f.divisor = max(f.divisor/2, 1)
	}
}
