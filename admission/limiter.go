package admission

import (
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// LimiterDeps is what a limiter depends on.
type LimiterDeps struct {
	// Metrics counts limits that were lowered, by cause. Nil counts nothing.
	Metrics pimentospread.Metrics
}

// Limiter chooses targets within this host's share of their slots. It
// implements pimentospread.Placement. Hosts that are configured with the same
// targets and live hosts derive shares that do not overlap, without a message.
type Limiter struct {
	configured bool
	self       pimentospread.HostID
	live       []pimentospread.HostID
	services   map[pimentospread.ServiceID]*placedService
	targets    map[pimentospread.TargetID]*targetLimit
	cuts       map[pimentospread.Result]pimentospread.Counter
}

var _ pimentospread.Placement = (*Limiter)(nil)

type placedService struct {
	group  *group
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

// Configure replaces the services and splits the slots of their targets over
// the live hosts. A target that appears after the first call starts cold. A
// host that is not among the live ones has only the spare slot of each pool.
func (l *Limiter) Configure(now time.Time, services []Service, live []pimentospread.HostID, self pimentospread.HostID) {
	l.live, l.self = live, self
	known := l.targets
	l.targets = make(map[pimentospread.TargetID]*targetLimit, len(known))
	for id, t := range known {
		t.retired = true
		if t.running > 0 {
			l.targets[id] = t
		}
	}
	placed := make(map[pimentospread.ServiceID]*placedService, len(services))
	groups := map[pimentospread.TargetID]*group{}
	for _, s := range services {
		p := l.services[s.ID]
		if p == nil {
			p = &placedService{}
		}
		placed[s.ID] = p
		p.group = l.configureGroup(now, s, groups, known)
	}
	l.services = placed
	l.configured = true
}

// configureGroup returns the group of the service's targets. A target belongs
// to one pool only, so the first target identifies the group of services that share it.
func (l *Limiter) configureGroup(now time.Time, s Service, done map[pimentospread.TargetID]*group, known map[pimentospread.TargetID]*targetLimit) *group {
	if len(s.Targets) == 0 {
		return &group{split: &split{}}
	}
	if g := done[s.Targets[0].ID]; g != nil {
		return g
	}
	g := &group{}
	for _, t := range s.Targets {
		if k := known[t.ID]; k != nil {
			g = k.group
			break
		}
	}
	g.coldStart, g.release, g.targets = s.ColdStart, s.Targets, nil
	for _, t := range s.Targets {
		done[t.ID] = g
		g.targets = append(g.targets, l.configureTarget(now, t, g, known[t.ID]))
	}
	g.live, g.self = l.live, l.self
	g.divide(now)
	for _, t := range g.targets {
		if known[t.id] == nil {
			t.limit = t.full()
		}
	}
	return g
}

func (l *Limiter) configureTarget(now time.Time, p pool.Target, g *group, t *targetLimit) *targetLimit {
	if t == nil {
		t = &targetLimit{id: p.ID, grownAt: now, usedAt: now, cold: l.configured, coldSince: now}
	}
	t.group, t.slots, t.retired = g, p.Slots, false
	t.drainedByRelease = p.State == pool.Draining
	l.targets[p.ID] = t
	return t
}

// Pick takes a slot at a target of the service, none of the excluded ones.
func (l *Limiter) Pick(now time.Time, service pimentospread.ServiceID, excluded []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	s := l.services[service]
	if s == nil {
		return 0, false
	}
	t := s.group.pick(now, excluded)
	if t == nil {
		return 0, false
	}
	t.start(now)
	return t.id, true
}

// Finish gives the slot back. A shed attempt, a timeout and a fast failure halve the limit.
func (l *Limiter) Finish(now time.Time, id pimentospread.TargetID, result pimentospread.Result, took time.Duration) {
	t := l.targets[id]
	if t == nil {
		return
	}
	t.stop(now)
	if t.retired && t.running == 0 {
		delete(l.targets, id)
	}
	if result == pimentospread.ResultCancelled {
		return
	}
	g := t.group
	g.history.add(result == pimentospread.ResultShed)
	t.countFailure(result == pimentospread.ResultFailed)
	switch {
	case result == pimentospread.ResultShed, result == pimentospread.ResultTimeout,
		result == pimentospread.ResultFailed && g.failsFast(t, took):
		t.cut(now)
		if n := l.cuts[result]; n != nil {
			n.Add(1)
		}
		return
	case result == pimentospread.ResultDone:
		g.learnTook(took)
	}
	t.streak = 0
}

// Report takes what a target says of itself. When a target opens or closes,
// the slots of the pool are split again over the targets that take work.
func (l *Limiter) Report(now time.Time, report pimentospread.LoadReport) {
	t := l.targets[report.Target]
	if t == nil || t.retired {
		return
	}
	if t.report(now, report) {
		t.group.divide(now)
	}
}

// AllowRetry takes a token of the service's retry budget. It reports false
// when none is left or when the pool sheds more than half of its attempts.
func (l *Limiter) AllowRetry(_ time.Time, service pimentospread.ServiceID) bool {
	s := l.services[service]
	if s == nil || s.group.history.overloaded() {
		return false
	}
	return s.budget.take()
}

// Started adds to the service's retry budget for a first attempt.
func (l *Limiter) Started(_ time.Time, service pimentospread.ServiceID) {
	if s := l.services[service]; s != nil {
		s.budget.earn()
	}
}
