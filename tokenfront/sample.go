package tokenfront

import (
	"math/bits"
	"time"

	"pimentospread"
)

// usualLines is the number of lines a second for usual decisions. Lines make the
// heap of a calm host grow until it is first collected: 60 a second doubled the
// memory of a host within a minute.
const usualLines = 10

// flowSample says of which flows usual decisions are logged. It keeps one flow
// in share, the same ones on every host with that share. The share follows the
// lines: a host with few flows logs all of them. Shares are powers of two, so that
// a flow kept at one share is kept at each smaller one.
type flowSample struct {
	// most bounds the share.
	most, share pimentospread.FlowID
	second      int64
	// offered counts the usual decisions of the second, and kept those since the
	// share last grew.
	offered, kept int
}

func newFlowSample(most pimentospread.FlowID) flowSample {
	return flowSample{most: 1 << (bits.Len64(uint64(most)) - 1), share: 1}
}

// take reports whether a usual decision on the flow is logged.
func (f *flowSample) take(now time.Time, id pimentospread.FlowID) bool {
	if s := now.Unix(); s != f.second {
		f.adapt()
		f.second, f.offered, f.kept = s, 0, 0
	}
	f.offered++
	if id%f.share != 0 {
		return false
	}
	if f.kept++; f.kept > usualLines {
		f.share, f.kept = min(2*f.share, f.most), 0
	}
	return true
}

// adapt halves the share when the last second had room for it.
func (f *flowSample) adapt() {
	if f.share > 1 && 2*f.offered/int(f.share) <= usualLines {
		f.share = max(f.share/2, 1)
	}
}
