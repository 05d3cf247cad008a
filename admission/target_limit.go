package admission

import (
	"math"
	"time"

	"pimentospread"
)

const (
	// growthPerSecond is how many slots a lowered limit regains in a second.
	growthPerSecond = 1.0
	// reportLife bounds how long a load report lowers a limit. Probes come several times in this time.
	reportLife = 5 * time.Second
	// useMemory is the time constant of the average slot use. It spans several
	// requests of usual length, so that a target's share evens out over them.
	useMemory = 2 * time.Second
	// failureGain is the weight of one attempt in a target's share of failures.
	failureGain = 1.0 / 8
	// failureMargin and failureFactor say by how much a target's share of
	// failures exceeds that of the others before its failures count against
	// it. Requests that fail at every target do not lower any limit.
	failureMargin = 0.1
	failureFactor = 1.3
)

// targetLimit is what a host knows of one target and how much it may run there.
type targetLimit struct {
	id    pimentospread.TargetID
	group *group
	slots pimentospread.Slots
	// owned are the numbers of the slots that the split gives to this host.
	owned []pimentospread.Slots
	// leaving counts the owned slots that another host owns in the next turn.
	leaving int
	running int
	// spares counts running requests that hold no owned slot.
	spares  int
	retired bool

	limit float64
	// lowered is what the limit lacks while a split changes the owned slots.
	lowered float64
	grownAt time.Time
	// streak counts attempts in a row after which the limit was lowered.
	streak int

	drainedByRelease, drainedByReport, unhealthy bool

	cold      bool
	coldSince time.Time
	// reportedCold is what the newest report says; a change to true starts a cold start.
	reportedCold bool
	// reportedAt is the time that the newest report bears.
	reportedAt time.Time
	// reportCap is the limit by the last report, until capEnds.
	reportCap int
	capEnds   time.Time

	use       float64
	usedAt    time.Time
	attempted bool
	failures  float64
}

// closed says that the target takes no new work.
func (t *targetLimit) closed() bool {
	return t.retired || t.drainedByRelease || t.drainedByReport || t.unhealthy
}

// grow brings the limit up to the present.
func (t *targetLimit) grow(now time.Time) {
	passed := now.Sub(t.grownAt).Seconds()
	t.grownAt = now
	t.limit = min(t.limit+max(0, passed)*growthPerSecond, t.full())
}

// full is the limit without any cause to lower it. A target without owned
// slots has one, for the spare slot.
func (t *targetLimit) full() float64 { return float64(max(1, len(t.owned))) }

// cut halves the limit, and once more for each cut before it without a success
// in between. Below one slot the target rests until the limit has grown back to one.
func (t *targetLimit) cut(now time.Time) {
	t.grow(now)
	t.streak++
	t.limit = math.Ldexp(t.limit, -t.streak)
}

// usable returns how many owned slots may be in use now.
func (t *targetLimit) usable(now time.Time) int {
	if t.closed() {
		return 0
	}
	t.grow(now)
	n := min(int(t.limit), t.open(now))
	if t.handsOver(now) {
		n = min(n, len(t.owned)-t.leaving)
	}
	if now.Before(t.capEnds) {
		n = min(n, t.reportCap)
	}
	return n
}

// handsOver says that owned slots are about to pass to another host and take no new request.
func (t *targetLimit) handsOver(now time.Time) bool {
	return t.leaving > 0 && t.group.handingOver(now)
}

// open returns how many owned slots a cold start leaves open. Slot 0 opens at
// once and the last one after the whole cold start, so that all hosts together
// start with one slot.
func (t *targetLimit) open(now time.Time) int {
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

// averageUse returns the share of the owned slots in use over the last seconds.
func (t *targetLimit) averageUse(now time.Time) float64 {
	passed := now.Sub(t.usedAt).Seconds()
	if passed <= 0 {
		return t.use
	}
	keep := math.Exp(-passed / useMemory.Seconds())
	t.use = keep*t.use + (1-keep)*float64(t.running)/t.full()
	t.usedAt = now
	return t.use
}

// before says that the target takes work before the other: one whose last
// attempt went well first, then the one that was used less.
func (t *targetLimit) before(o *targetLimit, now time.Time) bool {
	if (t.streak == 0) != (o.streak == 0) {
		return t.streak == 0
	}
	return t.averageUse(now) < o.averageUse(now)
}

func (t *targetLimit) start(now time.Time) {
	t.averageUse(now)
	t.running++
}

func (t *targetLimit) stop(now time.Time) {
	t.averageUse(now)
	if t.running > 0 {
		t.running--
	}
	if t.spares > 0 {
		t.spares--
		t.group.spares--
	}
}

func (t *targetLimit) countFailure(failed bool) {
	t.attempted = true
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failures += failureGain * (sample - t.failures)
}

// report takes what the target says of itself. It reports whether the target
// opened or closed. A report lowers the limit or ends its own earlier
// lowering; it never raises the limit above what this host has learned.
func (t *targetLimit) report(now time.Time, r pimentospread.LoadReport) bool {
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
	t.capEnds = time.Time{}
	if r.Running > t.slots {
		// More runs than the slots of all hosts together: each host gives way in proportion.
		t.reportCap = max(1, int(uint64(len(t.owned))*uint64(t.slots)/uint64(r.Running)))
		t.capEnds = now.Add(reportLife)
	}
	return was != t.closed()
}
