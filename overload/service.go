package overload

import (
	"math"
	"time"
)

// stepInterval is the interval at which the estimate of a service is updated.
const stepInterval = 50 * time.Millisecond

// service is the estimate of one service.
type service struct {
	responses responses
	baseline  baseline
	demand    demand
	// level is the share of the offered flows that is admitted.
	level float64
	// queueing is the delay of the quickest tenth of the responses relative to the baseline.
	queueing float64
	// updated is when level was last updated.
	updated time.Time
}

func newService(now time.Time) *service {
	return &service{level: 1, updated: now}
}

// advance updates the estimate if the last update is a step ago.
func (s *service) advance(now time.Time, c *Config) {
	elapsed := now.Sub(s.updated)
	if elapsed < stepInterval {
		return
	}
	s.updated = now
	s.demand.decay(elapsed)
	change := elapsed.Seconds() / c.GrowthTime.Seconds()
	if o, overloaded := s.evaluate(now, c); overloaded {
		spare := min(float64(c.RejectedTolerance)-o.rejected, float64(c.LateTolerance)-o.late)
		change = min(change, c.Gain*spare*elapsed.Seconds())
	}
	s.level = min(1, max(float64(c.MinShare), s.level*math.Exp(change)))
}

// outcome holds shares of the recent responses.
type outcome struct {
	// rejected is the share that is too quick to be the result of work.
	rejected float64
	// late is the share that missed its latency objective.
	late float64
}

// evaluate returns the outcome of recent requests. It also reports whether the service is
// overloaded, which needs requests that wait at all targets: if the quickest tenth of the
// executed requests or one of the latest did not wait, there are targets that could take the
// work of the others.
// Responses quicker than half the baseline were not executed. They do not hide that the
// others waited, and count only if the others did.
func (s *service) evaluate(now time.Time, c *Config) (outcome, bool) {
	window, recent := s.responses.windows(now, c)
	s.queueing = 0
	least, known := s.baseline.least()
	executed := s.responses.executed(window, least/2)
	if len(window) < c.MinResponses || len(executed) < c.MinResponses/2 {
		return outcome{}, false
	}
	quick := quickest(executed)
	s.baseline.record(now, quick, s.level < 1)
	if !known {
		return outcome{}, false
	}
	s.queueing = max(0, float64(quick)/float64(least)-1)
	waited := min(quick, quickestLatest(window, least/2))
	return outcomeOf(recent, least/2), float64(waited) >= c.QueueingFactor*float64(least)
}

// outcomeOf returns the outcome of the responses. Those that took less than the given time are rejections.
func outcomeOf(list []response, least time.Duration) outcome {
	var o outcome
	for _, r := range list {
		switch {
		case r.late:
			o.late++
		case r.taken < least:
			o.rejected++
		}
	}
	o.late /= float64(len(list))
	o.rejected /= float64(len(list))
	return o
}
