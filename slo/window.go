package slo

import "time"

// Lengths of the two windows of a burn report.
const (
	// ShortWindow shows whether the error budget is still being burned.
	ShortWindow = 5 * time.Minute
	// LongWindow shows whether the burn is significant.
	LongWindow = time.Hour
	// bucketsPerWindow is the resolution of a window: it advances in steps of 1/30 of its length.
	bucketsPerWindow = 30
)

// Count holds the number of completed requests and how many of them were good.
type Count struct {
	Good  uint64 `json:"Good"`
	Total uint64 `json:"Total"`
}

func (c Count) plus(other Count) Count { return Count{c.Good + other.Good, c.Total + other.Total} }

// window is a sliding window of counts in buckets. The newest bucket is incomplete.
type window struct {
	bucketLength time.Duration
	buckets      [bucketsPerWindow]Count
	// newest is the number of the newest bucket since the Unix epoch.
	newest int64
	sum    Count
}

func newWindow(now time.Time, length time.Duration) window {
	w := window{bucketLength: length / bucketsPerWindow}
	w.newest = w.bucketNumber(now)
	return w
}

func (w *window) bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(w.bucketLength) }

// advance clears the buckets that have left the window. If the clock was set back,
// the newest bucket stays the same and receives the new counts.
func (w *window) advance(now time.Time) {
	n := w.bucketNumber(now)
	for i := max(w.newest+1, n-bucketsPerWindow+1); i <= n; i++ {
		expired := &w.buckets[i%bucketsPerWindow]
		w.sum.Good -= expired.Good
		w.sum.Total -= expired.Total
		*expired = Count{}
	}
	w.newest = max(w.newest, n)
}

func (w *window) add(now time.Time, c Count) {
	w.advance(now)
	bucket := &w.buckets[w.newest%bucketsPerWindow]
	*bucket = bucket.plus(c)
	w.sum = w.sum.plus(c)
}
