package admission

import (
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// LimiterDeps holds the dependencies of a Limiter.
type LimiterDeps struct {
	// Metrics holds the counters of lowered limits by cause. Nil disables them.
	Metrics pimentospread.Metrics
}

// Limiter picks targets within this host's share of their slots. It implements
// pimentospread.Placement. Hosts that are configured with the same targets and
// live hosts derive disjoint shares without exchanging messages.
type Limiter struct {
	configured bool
	self       pimentospread.HostID
	live       []pimentospread.HostID
	services   map[pimentospread.ServiceID]*placedService
	targets    map[pimentospread.TargetID]*targetLimit
	cuts       map[pimentospread.Result]pimentospread.Counter
}

var _ pimentospread.Placement = (*Limiter)(nil)

// placedService holds the target group and the retry budget of a service.
type placedService struct {
	group  *targetGroup
	budget retryBudget
}

// NewLimiter returns a limiter without targets.
func NewLimiter(deps LimiterDeps) *Limiter {
	l := &Limiter{
		services: map[pimentospread.ServiceID]*placedService{},
		targets:  map[pimentospread.TargetID]*targetLimit{},
		cuts:     map[pimentospread.Result]pimentospread.Counter{},
	}
	if deps.Metrics != nil {
		l.cuts[pimentospread.ResultShed] = deps.Metrics.Counter(`pimentospread_admission_limit_cuts_total{cause="shed"}`)
		l.cuts[pimentospread.ResultTimeout] = deps.Metrics.Counter(`pimentospread_admission_limit_cuts_total{cause="timeout"}`)
		l.cuts[pimentospread.ResultFailed] = deps.Metrics.Counter(`pimentospread_admission_limit_cuts_total{cause="fast failure"}`)
	}
	return l
}

// Configure replaces the services and divides the slots of their targets among
// the live hosts. A target that appears after the first call starts cold. A
// host that is not live has only the spare slot of each pool.
func (l *Limiter) Configure(now time.Time, services []Service, live []pimentospread.HostID, self pimentospread.HostID) {
	l.live, l.self = live, self
	previous := l.targets
	l.targets = make(map[pimentospread.TargetID]*targetLimit, len(previous))
	for id, t := range previous {
		t.retired = true
		if t.running > 0 {
			l.targets[id] = t
		}
	}
	next := make(map[pimentospread.ServiceID]*placedService, len(services))
	groups := map[pimentospread.TargetID]*targetGroup{}
	for _, s := range services {
		p := l.services[s.ID]
		if p == nil {
			p = &placedService{}
		}
		next[s.ID] = p
		p.group = l.configureGroup(now, s, groups, previous)
	}
	l.services = next
	l.configured = true
}

// configureGroup returns the group of the service's targets. A target belongs to
// one pool only, so the first target identifies the group of all services that
// share the pool.
func (l *Limiter) configureGroup(now time.Time, s Service, configured map[pimentospread.TargetID]*targetGroup, previous map[pimentospread.TargetID]*targetLimit) *targetGroup {
	if len(s.Targets) == 0 {
		return &targetGroup{assignment: &slotAssignment{}}
	}
	if g := configured[s.Targets[0].ID]; g != nil {
		return g
	}
	g := &targetGroup{}
	for _, t := range s.Targets {
		if k := previous[t.ID]; k != nil {
			g = k.group
			break
		}
	}
	g.coldStart, g.published, g.targets = s.ColdStart, s.Targets, nil
	for _, t := range s.Targets {
		configured[t.ID] = g
		g.targets = append(g.targets, l.configureTarget(now, t, g, previous[t.ID]))
	}
	g.live, g.self = l.live, l.self
	g.reassign(now)
	for _, t := range g.targets {
		if previous[t.id] == nil {
			t.limit = t.maxLimit()
		}
	}
	return g
}

func (l *Limiter) configureTarget(now time.Time, p pool.Target, g *targetGroup, t *targetLimit) *targetLimit {
	if t == nil {
		t = &targetLimit{id: p.ID, grownAt: now, slotUseAt: now, cold: l.configured, coldSince: now}
	}
	t.group, t.slots, t.retired = g, p.Slots, false
	t.drainedByRelease = p.State == pool.Draining
	l.targets[p.ID] = t
	return t
}

// Pick takes a slot at a target of the service that is not excluded. It returns
// false when no slot is free.
func (l *Limiter) Pick(now time.Time, service pimentospread.ServiceID, excluded []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	s := l.services[service]
	if s == nil {
		return 0, false
	}
	t := s.group.pickTarget(now, excluded)
	if t == nil {
		return 0, false
	}
	t.acquire(now)
	return t.id, true
}

// Finish releases the slot and records the result. A shed attempt, a timeout or a
// fast failure halves the limit, or cuts it further when it follows another one.
func (l *Limiter) Finish(now time.Time, id pimentospread.TargetID, result pimentospread.Result, duration time.Duration) {
	t := l.targets[id]
	if t == nil {
		return
	}
	t.release(now)
	if t.retired && t.running == 0 {
		delete(l.targets, id)
	}
	if result == pimentospread.ResultCancelled {
		return
	}
	g := t.group
	g.history.add(result == pimentospread.ResultShed)
	t.recordResult(result == pimentospread.ResultFailed)
	switch {
	case result == pimentospread.ResultShed, result == pimentospread.ResultTimeout,
		result == pimentospread.ResultFailed && g.isFastFailure(t, duration):
		t.cut(now)
		if n := l.cuts[result]; n != nil {
			n.Add(1)
		}
		return
	case result == pimentospread.ResultDone:
		g.recordDuration(duration)
	}
	t.consecutiveCuts = 0
}

// Report applies a target's load report. When the target opens or closes, the
// slots of the targets that take work are divided again.
func (l *Limiter) Report(now time.Time, report pimentospread.LoadReport) {
	t := l.targets[report.Target]
	if t == nil || t.retired {
		return
	}
	if t.applyReport(now, report) {
		t.group.reassign(now)
	}
}

// AllowRetry takes a retry from the service's budget. It returns false when none
// is left or when the pool sheds more than half of its attempts.
func (l *Limiter) AllowRetry(_ time.Time, service pimentospread.ServiceID) bool {
	s := l.services[service]
	if s == nil || s.group.history.overloaded() {
		return false
	}
	return s.budget.spend()
}

// Started adds a first attempt to the service's retry budget.
func (l *Limiter) Started(_ time.Time, service pimentospread.ServiceID) {
	if s := l.services[service]; s != nil {
		s.budget.earn()
	}
}
