package host

import (
	"fmt"

	"pimentospread"
	"pimentospread/dataplane"
)

// outcomeCounters exports the counts of the request dispatcher as metrics. It is not
// safe for concurrent use.
type outcomeCounters struct {
	metrics  pimentospread.Metrics
	counters map[string]pimentospread.Counter
	// last is the value of each counter after the previous update.
	last map[string]uint64
}

func newOutcomeCounters(m pimentospread.Metrics) *outcomeCounters {
	return &outcomeCounters{metrics: m, counters: map[string]pimentospread.Counter{}, last: map[string]uint64{}}
}

func (o *outcomeCounters) update(stats []dataplane.RequestStats) {
	for _, s := range stats {
		counts := []struct {
			outcome string
			value   uint64
		}{
			{"arrived", s.Arrived}, {"done", s.Done}, {"not_run", s.NotRun}, {"unknown", s.Unknown},
			{"failed", s.Failed}, {"shed", s.Shed}, {"retried", s.Retried},
		}
		for _, c := range counts {
			o.set(fmt.Sprintf("pimentospread_requests_total{service=\"%d\",class=%q,outcome=%q}", s.Service, s.Class, c.outcome), c.value)
		}
	}
}

func (o *outcomeCounters) set(name string, value uint64) {
	counter, ok := o.counters[name]
	if !ok {
		counter = o.metrics.Counter(name)
		o.counters[name] = counter
	}
	counter.Add(int(value - o.last[name]))
	o.last[name] = value
}
