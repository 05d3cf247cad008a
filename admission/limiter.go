package admission

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// LimiterDeps is what a limiter depends on.
type LimiterDeps struct {
	// Metrics counts limits that were lowered, by cause. Nil counts nothing.
	Metrics pimentospread.Metrics
}

// Limiter chooses targets within this host's share of their slots. It implements pimentospread.Placement.
type Limiter struct {
	services map[pimentospread.ServiceID][]*target
	targets  map[pimentospread.TargetID]*target
	tenths   map[pimentospread.ServiceID]int
}

var _ pimentospread.Placement = (*Limiter)(nil)

type target struct {
	id             pimentospread.TargetID
	limit, running int
	closed         bool
}

// NewLimiter returns a limiter without targets.
func NewLimiter(_ LimiterDeps) *Limiter {
	return &Limiter{
		services: map[pimentospread.ServiceID][]*target{},
		targets:  map[pimentospread.TargetID]*target{},
		tenths:   map[pimentospread.ServiceID]int{},
	}
}

// Configure replaces the services and splits the slots of their targets over the live hosts.
func (l *Limiter) Configure(_ time.Time, services []Service, live []pimentospread.HostID, _ pimentospread.HostID) {
	l.services = map[pimentospread.ServiceID][]*target{}
	for _, s := range services {
		for _, t := range s.Targets {
			g := l.targets[t.ID]
			if g == nil {
				g = &target{id: t.ID}
				l.targets[t.ID] = g
			}
			g.limit = max(1, int(t.Slots)/max(1, len(live)))
			g.closed = t.State == pool.Draining
			l.services[s.ID] = append(l.services[s.ID], g)
		}
	}
}

// Pick takes a slot at the target with the fewest requests running.
func (l *Limiter) Pick(_ time.Time, service pimentospread.ServiceID, excluded []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	var best *target
	for _, g := range l.services[service] {
		if g.closed || g.running >= g.limit || slices.Contains(excluded, g.id) {
			continue
		}
		if best == nil || g.running < best.running {
			best = g
		}
	}
	if best == nil {
		return 0, false
	}
	best.running++
	return best.id, true
}

// Finish gives the slot back.
func (l *Limiter) Finish(_ time.Time, id pimentospread.TargetID, _ pimentospread.Result, _ time.Duration) {
	if g := l.targets[id]; g != nil && g.running > 0 {
		g.running--
	}
}

// Report takes what a target says of itself.
func (l *Limiter) Report(_ time.Time, report pimentospread.LoadReport) {
	if g := l.targets[report.Target]; g != nil {
		g.closed = report.Draining || !report.Healthy
	}
}

// AllowRetry takes a token of the service's retry budget. It reports false when none is left.
func (l *Limiter) AllowRetry(_ time.Time, service pimentospread.ServiceID) bool {
	if l.tenths[service] < 10 {
		return false
	}
	l.tenths[service] -= 10
	return true
}

// Started adds to the service's retry budget for a first attempt.
func (l *Limiter) Started(_ time.Time, service pimentospread.ServiceID) { l.tenths[service]++ }
