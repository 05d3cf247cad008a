package target

import (
	"time"

	"pimentospread"
)

// FalseReport is the way in which a health report deviates from the actual state.
type FalseReport string

// False reports of a target.
const (
	// Accurate reports the actual state.
	Accurate FalseReport = ""
	// ClaimsIdle reports no requests and no connections, and hides draining and a
	// cold start.
	ClaimsIdle FalseReport = "Idle"
	// ClaimsDown reports the target as unhealthy although it serves.
	ClaimsDown FalseReport = "Down"
	// ClaimsFull reports every slot and connection as in use.
	ClaimsFull FalseReport = "Full"
)

// Switches changes the behaviour of a running target.
type Switches struct {
	// Draining makes the target report that it is draining. It still serves new work,
	// and counts it as late after the grace period.
	Draining bool
	// Cold makes requests take longer and the target report a cold start.
	Cold bool
	// FailFast answers each request with an error immediately.
	FailFast bool
	// Silent permanently stops answers on all flows that are open when it is set.
	Silent bool
	// Lie is the false report, if any.
	Lie FalseReport
}

// valid reports whether the value is one of the constants.
func (r FalseReport) valid() bool {
	switch r {
	case Accurate, ClaimsIdle, ClaimsDown, ClaimsFull:
		return true
	default:
		return false
	}
}

// report returns the health report of the target.
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
