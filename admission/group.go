package admission

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// group is the targets of one pool, as one host sees them.
type group struct {
	coldStart time.Duration
	// release are the targets as published, targets what this host knows of them, in the same order.
	release []pool.Target
	targets []*targetLimit
	// own are the targets at which this host owns slots.
	own []*targetLimit
	// ranked are the targets in the order in which this host takes a spare slot.
	ranked []*targetLimit
	// spares counts running requests without an owned slot. It is at most one.
	spares  int
	history shedHistory
	// took is the mean time of successful requests in seconds, or zero before the first.
	took float64
}

// split gives this host its slots at the targets that take work.
func (g *group) split(live []pimentospread.HostID, self pimentospread.HostID) {
	byID := make(map[pimentospread.TargetID]*targetLimit, len(g.targets))
	var open []pool.Target
	for i, t := range g.targets {
		byID[t.id] = t
		t.owned = t.owned[:0]
		if !t.closed() {
			open = append(open, g.release[i])
		}
	}
	for _, s := range split(open, live)[self] {
		t := byID[s.target]
		t.owned = append(t.owned, s.number)
	}
	g.own, g.ranked = g.own[:0], g.ranked[:0]
	for _, t := range g.targets {
		t.limit = min(t.limit, t.full())
		if len(t.owned) > 0 {
			g.own = append(g.own, t)
		}
	}
	for _, id := range rank(open, self) {
		g.ranked = append(g.ranked, byID[id])
	}
}

// pick returns the target with a free owned slot that was used least, or the
// target for the spare slot. The spare slot is for requests for which no owned
// slot can become free: their targets are excluded, cold or resting.
func (g *group) pick(now time.Time, excluded []pimentospread.TargetID) *targetLimit {
	var best *targetLimit
	busy := false
	for _, t := range g.own {
		if slices.Contains(excluded, t.id) {
			continue
		}
		usable := t.usable(now)
		busy = busy || usable > 0
		if t.running >= usable {
			continue
		}
		if best == nil || t.averageUse(now) < best.averageUse(now) {
			best = t
		}
	}
	if best != nil || busy || g.spares > 0 {
		return best
	}
	return g.spare(now, excluded)
}

func (g *group) spare(now time.Time, excluded []pimentospread.TargetID) *targetLimit {
	for _, t := range g.ranked {
		if t.closed() || t.running > 0 || slices.Contains(excluded, t.id) {
			continue
		}
		t.grow(now)
		if t.limit < 1 {
			continue
		}
		t.spares++
		g.spares++
		return t
	}
	return nil
}

// failsFast says that a failure after the given time is the target's and not
// the request's: it came much sooner than a success, and the target fails more
// often than the others that were tried.
func (g *group) failsFast(t *targetLimit, took time.Duration) bool {
	if g.took > 0 && took.Seconds() > g.took/2 {
		return false
	}
	sum, n := 0.0, 0
	for _, o := range g.targets {
		if o != t && o.attempted {
			sum += o.failures
			n++
		}
	}
	return t.failures > failureMargin+failureFactor*sum/float64(max(1, n))
}

func (g *group) learnTook(took time.Duration) {
	if g.took == 0 {
		g.took = took.Seconds()
		return
	}
	g.took += waitGain * (took.Seconds() - g.took)
}
