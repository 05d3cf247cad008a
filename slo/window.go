package slo

import "time"

// Lengths of the two windows. The short one shows that a burn is still going
// on, the long one that it matters.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	// bucketsPerWindow is the resolution: a window moves in steps of a thirtieth of its length.
	bucketsPerWindow = 30
)

// Count is how many requests ended, and how many of them ended well.
type Count struct {
	Good  uint64 `json:"Good"`
	Total uint64 `json:"Total"`
}

func (c Count) plus(o Count) Count { return Count{c.Good + o.Good, c.Total + o.Total} }

// window counts over the last buckets. The newest bucket is not yet complete.
type window struct {
	bucket time.Duration
	counts [bucketsPerWindow]Count
	newest int64
	sum    Count
}

func newWindow(now time.Time, length time.Duration) window {
	w := window{bucket: length / bucketsPerWindow}
	w.newest = w.number(now)
	return w
}

func (w *window) number(now time.Time) int64 { return now.UnixNano() / int64(w.bucket) }

// advance empties the buckets that have left the window. A clock that went
// back adds to the newest bucket.
func (w *window) advance(now time.Time) {
	n := w.number(now)
	for i := max(w.newest+1, n-bucketsPerWindow+1); i <= n; i++ {
		old := &w.counts[i%bucketsPerWindow]
		w.sum.Good -= old.Good
		w.sum.Total -= old.Total
		*old = Count{}
	}
	w.newest = max(w.newest, n)
}

func (w *window) add(now time.Time, c Count) {
	w.advance(now)
	b := &w.counts[w.newest%bucketsPerWindow]
	*b = b.plus(c)
	w.sum = w.sum.plus(c)
}
