package admission

import (
	"math"
	"time"
)

// sampleWeight is the weight of one sample in the moving averages of durations
// and intervals.
const sampleWeight = 1.0 / 16

// waitEstimate predicts the wait of a new request. It measures the time between
// two turns of a service, that is, between two requests that leave its queue,
// while requests wait.
type waitEstimate struct {
	// slotShare is this host's share of the slots. It gives the interval before the first sample.
	slotShare float64
	// meanDuration and interval are moving averages in seconds, zero before the first sample.
	meanDuration, interval float64
	lastTurn               time.Time
	// backlog is true if requests still waited after the last turn.
	backlog bool
}

// recordDuration adds the time for which a request ran.
func (w *waitEstimate) recordDuration(duration time.Duration) {
	if w.meanDuration == 0 {
		w.meanDuration = duration.Seconds()
		return
	}
	w.meanDuration += sampleWeight * (duration.Seconds() - w.meanDuration)
}

// recordTurn adds a turn after which the given number of requests still wait.
// A turn without a backlog moves the interval towards the nominal one, so that
// an estimate made during an outage fades after the outage.
func (w *waitEstimate) recordTurn(now time.Time, waiting int) {
	sample := w.nominal()
	if w.backlog {
		sample = now.Sub(w.lastTurn).Seconds()
	}
	if w.interval == 0 {
		w.interval = w.nominal()
	}
	w.interval += sampleWeight * (sample - w.interval)
	w.lastTurn = now
	w.backlog = waiting > 0
}

// nominal returns the interval in seconds at which the host's share of the slots becomes free.
func (w *waitEstimate) nominal() float64 { return w.meanDuration / max(1, w.slotShare) }

// expectedWait returns the expected time until the given number of turns have passed.
// With a backlog, a long gap since the last turn raises the estimate at once.
func (w *waitEstimate) expectedWait(now time.Time, turns float64) time.Duration {
	interval := w.interval
	if interval == 0 {
		interval = w.nominal()
	}
	if w.backlog {
		interval += sampleWeight * max(0, now.Sub(w.lastTurn).Seconds()-interval)
	}
	return time.Duration(min(turns*interval*float64(time.Second), math.MaxInt64/2))
}
