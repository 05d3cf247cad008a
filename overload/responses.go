package overload

import (
	"math"
	"slices"
	"time"
)

// maxResponses limits the responses that are compared.
const maxResponses = 128

// response is an observed response.
type response struct {
	at    time.Time
	taken time.Duration
	// late is set if the response missed its latency objective.
	late bool
}

// responses holds the last responses of a service in the order of their arrival.
type responses struct {
	list   []response
	sorted []time.Duration
}

// add appends a response. It drops the oldest half if there are too many.
func (r *responses) add(x response) {
	if len(r.list) >= 2*maxResponses {
		r.list = append(r.list[:0], r.list[maxResponses:]...)
	}
	r.list = append(r.list, x)
}

// windows returns the responses up to MaxAge, which show whether requests wait, and those that
// show the outcome: the ones within Window, or the last MinResponses if they are fewer.
func (r *responses) windows(now time.Time, c *Config) (window, recent []response) {
	list := r.list[max(0, len(r.list)-maxResponses):]
	i, _ := slices.BinarySearchFunc(list, now.Add(-c.MaxAge), func(x response, t time.Time) int { return x.at.Compare(t) })
	j, _ := slices.BinarySearchFunc(list, now.Add(-c.Window), func(x response, t time.Time) int { return x.at.Compare(t) })
	return list[i:], list[max(i, min(j, len(list)-c.MinResponses)):]
}

// latestExecuted is how many of the executed requests count as the latest ones. A host that
// refuses most flows sees few responses, so the older ones would keep an overload that has ended.
const latestExecuted = 5

// quickestLatest returns the quickest of the latest responses that took at least the given time.
func quickestLatest(window []response, least time.Duration) time.Duration {
	quick, n := time.Duration(math.MaxInt64), 0
	for i := len(window) - 1; i >= 0 && n < latestExecuted; i-- {
		if window[i].taken >= least {
			quick = min(quick, window[i].taken)
			n++
		}
	}
	return quick
}

// executed returns the sorted times of the responses that took at least the given time.
func (r *responses) executed(window []response, least time.Duration) []time.Duration {
	r.sorted = r.sorted[:0]
	for _, x := range window {
		if x.taken >= least {
			r.sorted = append(r.sorted, x.taken)
		}
	}
	slices.Sort(r.sorted)
	return r.sorted
}

// quickest returns the upper limit of the quickest tenth.
func quickest(sorted []time.Duration) time.Duration { return sorted[len(sorted)/10] }

const (
	// epochs is how many epochs the baseline covers.
	epochs = 16
	// epochLength is the length of an epoch while all flows are admitted.
	epochLength = 2 * time.Second
	// refusingEpochLength is the length while flows are refused, so that a long overload does
	// not become the baseline, and a service that has become slow for good does within minutes.
	refusingEpochLength = 16 * time.Second
)

// baseline is the lowest response time of the quickest tenth in the recent past. It is
// about the time that the work takes without queueing.
type baseline struct {
	// lowest is a ring of the lowest value of each epoch. Zero means that there is none.
	lowest  [epochs]time.Duration
	current int
	started time.Time
}

// record adds a value.
func (b *baseline) record(now time.Time, quick time.Duration, refusing bool) {
	length := epochLength
	if refusing {
		length = refusingEpochLength
	}
	if now.Sub(b.started) >= length {
		b.started = now
		b.current = (b.current + 1) % epochs
		b.lowest[b.current] = 0
	}
	if l := b.lowest[b.current]; l == 0 || quick < l {
		b.lowest[b.current] = quick
	}
}

// least returns the baseline, and false if there is none yet.
func (b *baseline) least() (time.Duration, bool) {
	least := time.Duration(0)
	for _, l := range b.lowest {
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least, least > 0
}
