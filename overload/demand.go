package overload

import (
	"math"
	"time"

	"pimentospread"
)

// demandWindow is the time constant of the offered flows.
const demandWindow = time.Second

// priorities limits the priorities that are distinguished. Higher numbers count as the highest.
const priorities = 8

// demand is the recent number of offered flows by priority.
type demand [priorities]float64

// index returns the index of a priority.
func index(p pimentospread.Priority) int { return min(int(p), priorities-1) }

func (d *demand) add(p pimentospread.Priority) { d[index(p)]++ }

// decay reduces the weight of the flows that were counted before.
func (d *demand) decay(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	for i := range d {
		d[i] *= keep
	}
}

// admitted returns the share of the flows of a priority that is admitted, if the given share
// of all flows is. Higher priorities come first, but each gets at least the minimum.
func (d *demand) admitted(p pimentospread.Priority, level, minimum float64) float64 {
	total, urgent, lower := 0.0, 0.0, 0.0
	for i, n := range d {
		total += n
		switch {
		case i < index(p):
			urgent += n
		case i > index(p):
			lower += n
		}
	}
	own := d[index(p)]
	if own == 0 {
		return 1
	}
	return min(1, max(minimum, (level*total-urgent-minimum*lower)/own))
}
