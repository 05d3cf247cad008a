package target

import (
	"time"

	"pimentospread"
)

// Lie is how a health report departs from the truth.
type Lie string

// Lies of a health report.
const (
	// Truthful reports say what is so.
	Truthful Lie = ""
	// ClaimsIdle reports say that nothing runs, and hide draining and a cold start.
	ClaimsIdle Lie = "Idle"
	// ClaimsDown reports say that the target is down while it serves.
	ClaimsDown Lie = "Down"
	// ClaimsFull reports say that every slot is in use.
	ClaimsFull Lie = "Full"
)

// Switches change the behaviour of a target while it runs.
type Switches struct {
	// Draining makes the target say that it wants no new work. It still runs what arrives, and counts it.
	Draining bool
	// Cold makes requests slower.
	Cold bool
	// FailFast answers each request with an error at once.
	FailFast bool
	// Silent makes all flows that are open when it is set silent for good.
	Silent bool
	// Lie is one of the lies of a health report.
	Lie Lie
}

// valid says whether the lie is known.
func (l Lie) valid() bool {
	switch l {
	case Truthful, ClaimsIdle, ClaimsDown, ClaimsFull:
		return true
	default:
		return false
	}
}

// report is what the target says of itself.
func (t *Target) report(now time.Time) pimentospread.LoadReport {
	r := pimentospread.LoadReport{
		Healthy: true, Draining: t.switches.Draining, Cold: t.switches.Cold,
		Running: t.requests.Running(), Connections: pimentospread.Connections(t.flows.Len()), At: now,
	}
	switch t.switches.Lie {
	case ClaimsIdle:
		r.Running, r.Connections, r.Draining, r.Cold = 0, 0, false, false
	case ClaimsDown:
		r.Healthy = false
	case ClaimsFull:
		r.Running, r.Connections = t.options.Slots, t.options.Connections
	}
	return r
}
