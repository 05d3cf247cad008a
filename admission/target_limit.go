package admission

import (
	"math"
	"time"

	"pimentospread"
)

const (
	// growthPerSecond is the number of slots that a lowered limit regains in a second.
	growthPerSecond = 1.0
	// reportTTL bounds how long a load report lowers a limit. Several probes fit into this time.
	reportTTL = 5 * time.Second
	// useTimeConstant is the time constant of the average slot use. It spans several
	// requests of usual duration, so that the use of the targets evens out.
	useTimeConstant = 2 * time.Second
	// failureWeight is the weight of one attempt in a target's failure rate.
	failureWeight = 1.0 / 8
	// failureMargin and failureFactor define the failure rate above which failures
	// count against a target: the mean rate of the other targets times failureFactor
	// plus failureMargin. Requests that fail at every target do not lower any limit.
	failureMargin = 0.1
	failureFactor = 1.3
)

// targetLimit limits the requests that a host runs at one target.
type targetLimit struct {
	id    pimentospread.TargetID
	group *targetGroup
	slots pimentospread.Slots
	// owned are the numbers of the slots that this host owns in the current turn.
	owned []pimentospread.Slots
	// leaving is the number of owned slots that another host owns in the next turn.
	leaving int
	running int
	// sparesInUse counts running requests without an owned slot.
	sparesInUse int
	// retired is true if the target is no longer configured.
	retired bool

	// limit is the number of requests that may run; its fraction is growth towards the next slot.
	limit float64
	// deficit is the difference between maxLimit and limit. It is kept while the owned slots change.
	deficit float64
	grownAt time.Time
	// consecutiveCuts counts the cuts of the limit since the last attempt that did not cause one.
	consecutiveCuts int

	drainedByRelease, drainedByReport, unhealthy bool

	cold      bool
	coldSince time.Time
	// reportedCold is the Cold flag of the newest report. A change to true begins a cold start.
	reportedCold bool
	// reportedAt is the timestamp of the newest report.
	reportedAt time.Time
	// overloadCap bounds the limit until overloadCapUntil, after a report of more running requests than slots.
	overloadCap      int
	overloadCapUntil time.Time

	// slotUse is the moving average of the share of owned slots in use, as of slotUseAt.
	slotUse   float64
	slotUseAt time.Time
	// attempted is true after the first attempt at the target.
	attempted bool
	// failureRate is the moving average of the share of attempts that failed.
	failureRate float64
}

// closed reports whether the target takes no new work.
func (t *targetLimit) closed() bool {
	return t.retired || t.drainedByRelease || t.drainedByReport || t.unhealthy
}

// grow raises the limit by the growth since the last call.
func (t *targetLimit) grow(now time.Time) {
	elapsed := now.Sub(t.grownAt).Seconds()
	t.grownAt = now
	t.limit = min(t.limit+max(0, elapsed)*growthPerSecond, t.maxLimit())
}

// maxLimit returns the limit without any cut: the number of owned slots, or one
// for the spare slot at a target without owned slots.
func (t *targetLimit) maxLimit() float64 { return float64(max(1, len(t.owned))) }

// cut halves the limit, and once more for each consecutive cut before. A target
// with a limit below one gets no requests until the limit has grown back to one.
func (t *targetLimit) cut(now time.Time) {
	t.grow(now)
	t.consecutiveCuts++
	t.limit = math.Ldexp(t.limit, -t.consecutiveCuts)
}

// usable returns how many owned slots may be in use now.
func (t *targetLimit) usable(now time.Time) int {
	if t.closed() {
		return 0
	}
	t.grow(now)
	n := min(int(t.limit), t.openSlots(now))
	if t.nearHandover(now) {
		n = min(n, len(t.owned)-t.leaving)
	}
	if now.Before(t.overloadCapUntil) {
		n = min(n, t.overloadCap)
	}
	return n
}

// nearHandover reports whether owned slots soon pass to another host, so that they take no new request.
func (t *targetLimit) nearHandover(now time.Time) bool {
	return t.leaving > 0 && t.group.nearHandover(now)
}

// openSlots returns how many owned slots are open in a cold start. Slot 0 opens at
// once and the last one at the end of the cold start, so that all hosts together
// start with one slot.
func (t *targetLimit) openSlots(now time.Time) int {
	if !t.cold || t.slots < 2 {
		return len(t.owned)
	}
	age, step := now.Sub(t.coldSince), t.group.coldStart/time.Duration(t.slots-1)
	n := 0
	for _, number := range t.owned {
		if age >= time.Duration(number)*step {
			n++
		}
	}
	return n
}

// averageUse updates and returns the average share of owned slots in use.
func (t *targetLimit) averageUse(now time.Time) float64 {
	elapsed := now.Sub(t.slotUseAt).Seconds()
	if elapsed <= 0 {
		return t.slotUse
	}
	keep := math.Exp(-elapsed / useTimeConstant.Seconds())
	t.slotUse = keep*t.slotUse + (1-keep)*float64(t.running)/t.maxLimit()
	t.slotUseAt = now
	return t.slotUse
}

// preferredTo reports whether the target is picked before the other. A target
// whose last attempt did not cut the limit comes first, then the less used one.
func (t *targetLimit) preferredTo(o *targetLimit, now time.Time) bool {
	if (t.consecutiveCuts == 0) != (o.consecutiveCuts == 0) {
		return t.consecutiveCuts == 0
	}
	return t.averageUse(now) < o.averageUse(now)
}

// acquire records the start of a request at the target.
func (t *targetLimit) acquire(now time.Time) {
	t.averageUse(now)
	t.running++
}

// release records the end of a request at the target.
func (t *targetLimit) release(now time.Time) {
	t.averageUse(now)
	if t.running > 0 {
		t.running--
	}
	if t.sparesInUse > 0 {
		t.sparesInUse--
		t.group.sparesInUse--
	}
}

// recordResult adds an attempt to the failure rate.
func (t *targetLimit) recordResult(failed bool) {
	t.attempted = true
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureRate += failureWeight * (sample - t.failureRate)
}

// applyReport applies a load report of the target and returns whether the target
// opened or closed. A report caps the limit or ends the cap of an earlier report;
// it never raises the limit itself. Reports older than the newest one are ignored.
func (t *targetLimit) applyReport(now time.Time, r pimentospread.LoadReport) bool {
	if r.At.Before(t.reportedAt) {
		return false
	}
	t.reportedAt = r.At
	was := t.closed()
	t.unhealthy, t.drainedByReport = !r.Healthy, r.Draining
	if r.Cold && !t.reportedCold {
		t.coldSince = now
	}
	t.reportedCold = r.Cold
	t.cold = r.Cold || t.cold && now.Sub(t.coldSince) < t.group.coldStart
	t.overloadCapUntil = time.Time{}
	if r.Running > t.slots {
		// The target runs more requests than it has slots. Each host lowers its
		// limit in the same proportion.
		t.overloadCap = max(1, int(uint64(len(t.owned))*uint64(t.slots)/uint64(r.Running)))
		t.overloadCapUntil = now.Add(reportTTL)
	}
	return was != t.closed()
}
