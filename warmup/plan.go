package warmup

import (
	"math"
	"time"
)

const (
	// boundFactor and boundBase set the bound: the packets that all hosts together may send to a
	// cold target in any sliding second are rate * boundFactor + boundBase.
	boundFactor, boundBase = 1.5, 5
	// reserveDivisor sets the reserve for hosts that send although they are not among the planned
	// senders: a quarter of those, and at least one.
	reserveDivisor = 4
	// periodMargin keeps a period longer than the window that it is derived from.
	periodMargin = time.Millisecond
	// maxPeriodSeconds keeps the period of a tiny rate within a time.Duration.
	maxPeriodSeconds = 9e9
	// maxSenders limits the time in which a plan is made, to about 0.2 ms. It exceeds the number
	// of hosts in the largest deployment, 13,000.
	maxSenders = 16384
)

// plan divides the rate of a cold target: the senders are the first hosts of its
// rendezvous order, and each sends at most one packet in a period.
type plan struct {
	senders int
	period  time.Duration
}

// newPlan returns the plan with the highest planned total, which is never above the rate. Among
// equal ones it takes the plan that tolerates the largest share of unplanned senders.
func newPlan(rate float64, hosts int, window time.Duration) plan {
	bound := math.Floor(rate*boundFactor + boundBase)
	most := min(float64(hosts), maxSenders, math.Floor(rate*window.Seconds())+1)
	var best plan
	var highest, tolerance float64
	for n := 1; float64(n) <= most; n++ {
		p, reserve := plan{senders: n}, (n+reserveDivisor-1)/reserveDivisor
		// With a period above window/perWindow, no sender sends more than perWindow packets in a window.
		perWindow := math.Floor(bound / float64(n+reserve))
		if perWindow < 1 {
			break
		}
		seconds := max(float64(n)/rate, window.Seconds()/perWindow+periodMargin.Seconds())
		p.period = time.Duration(math.Ceil(min(seconds, maxPeriodSeconds) * float64(time.Second)))
		total := float64(n) / seconds
		t := bound / (float64(n) * math.Floor(window.Seconds()/seconds+1))
		if total > highest*(1+1e-9) || total > highest*(1-1e-9) && t >= tolerance {
			best, highest, tolerance = p, total, t
		}
	}
	return best
}
