package admission

import (
	"math"
	"time"
)

// waitGain is the weight of one sample in the moving averages of the estimate.
const waitGain = 1.0 / 16

// waitEstimate learns the time between two turns of a service while requests wait.
type waitEstimate struct {
	// parallel is this host's part of the slots, for the estimate before the first sample.
	parallel float64
	// took and interval are in seconds; zero means not known yet.
	took, interval float64
	lastTurn       time.Time
	// backlog says that requests waited after the last turn.
	backlog bool
}

// ended learns how long a request ran.
func (w *waitEstimate) ended(took time.Duration) {
	if w.took == 0 {
		w.took = took.Seconds()
		return
	}
	w.took += waitGain * (took.Seconds() - w.took)
}

// turn learns from a turn after which the given number of requests still wait.
// A turn without backlog moves the interval to what the slots allow, so that
// an estimate from an outage does not outlive it.
func (w *waitEstimate) turn(now time.Time, waiting int) {
	sample := w.nominal()
	if w.backlog {
		sample = now.Sub(w.lastTurn).Seconds()
	}
	if w.interval == 0 {
		w.interval = w.nominal()
	}
	w.interval += waitGain * (sample - w.interval)
	w.lastTurn = now
	w.backlog = waiting > 0
}

func (w *waitEstimate) nominal() float64 { return w.took / max(1, w.parallel) }

// wait returns the expected time until the given number of turns have passed.
func (w *waitEstimate) wait(now time.Time, turns float64) time.Duration {
	interval := w.interval
	if interval == 0 {
		interval = w.nominal()
	}
	if w.backlog {
		interval += waitGain * max(0, now.Sub(w.lastTurn).Seconds()-interval)
	}
	return time.Duration(min(turns*interval*float64(time.Second), math.MaxInt64/2))
}
