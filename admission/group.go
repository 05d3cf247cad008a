package admission

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// noTurn is not the number of any turn.
const noTurn = -1

// group is the targets of one pool, as one host sees them.
type group struct {
	coldStart time.Duration
	live      []pimentospread.HostID
	self      pimentospread.HostID
	split     *split
	// turn numbers the split's turns since the Unix epoch; turnEnds is the end of this one.
	turn     int64
	turnEnds time.Time
	// release are the targets as published, targets what this host knows of them, in the same order.
	release []pool.Target
	targets []*targetLimit
	byID    map[pimentospread.TargetID]*targetLimit
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

// advance gives this host its slots of the present turn.
func (g *group) advance(now time.Time) {
	length := int64(g.split.turnLength())
	turn := now.UnixNano() / length
	if turn == g.turn {
		return
	}
	g.turn, g.turnEnds = turn, time.Unix(0, (turn+1)*length)
	for _, t := range g.targets {
		t.grow(now)
		t.lowered = t.full() - t.limit
		t.owned, t.leaving = t.owned[:0], 0
	}
	next := g.split.owned(g.self, turn+1)
	for _, s := range g.split.owned(g.self, turn) {
		t := g.byID[s.target]
		t.owned = append(t.owned, s.number)
		if !slices.Contains(next, s) {
			t.leaving++
		}
	}
	g.own = g.own[:0]
	for _, t := range g.targets {
		t.limit = max(0, t.full()-t.lowered)
		if len(t.owned) > 0 {
			g.own = append(g.own, t)
		}
	}
}

// divide splits the slots over the live hosts again. Targets that take no new work have no part in it.
func (g *group) divide(now time.Time) {
	g.byID = make(map[pimentospread.TargetID]*targetLimit, len(g.targets))
	var open []pool.Target
	for i, t := range g.targets {
		g.byID[t.id] = t
		if !t.closed() {
			open = append(open, g.release[i])
		}
	}
	g.split = newSplit(open, g.live)
	g.ranked = g.ranked[:0]
	for _, id := range rank(open, g.self) {
		g.ranked = append(g.ranked, g.byID[id])
	}
	g.turn = noTurn
	g.advance(now)
}

// pick returns the target with a free owned slot that was used least, or the
// target for the spare slot. The spare slot is for requests for which no owned
// slot becomes free soon: their targets are excluded, cold or resting.
func (g *group) pick(now time.Time, excluded []pimentospread.TargetID) *targetLimit {
	g.advance(now)
	var best *targetLimit
	busy := len(g.own) == 0 && g.split.slotless(g.self)
	for _, t := range g.own {
		if slices.Contains(excluded, t.id) {
			continue
		}
		usable := t.usable(now)
		busy = busy || usable > 0 || t.handsOver(now)
		if t.running >= usable {
			continue
		}
		if best == nil || t.before(best, now) {
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

// handingOver says that a request of mean length would run past the turn.
func (g *group) handingOver(now time.Time) bool {
	owned := g.split.turnLength().Seconds() * float64(len(g.split.rest))
	pause := min(g.took, owned/2)
	return g.turnEnds.Sub(now).Seconds() < pause
}

func (g *group) learnTook(took time.Duration) {
	if g.took == 0 {
		g.took = took.Seconds()
		return
	}
	g.took += waitGain * (took.Seconds() - g.took)
}
