package admission

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// noTurn differs from the number of every turn.
const noTurn = -1

// targetGroup holds the limits of one host at the targets of one pool.
type targetGroup struct {
	coldStart  time.Duration
	live       []pimentospread.HostID
	self       pimentospread.HostID
	assignment *slotAssignment
	// turn is the number of the current turn of the assignment since the Unix epoch.
	turn int64
	// turnEnds is the end of the current turn.
	turnEnds time.Time
	// published are the targets of the release.
	published []pool.Target
	// targets are the limits at the published targets, in the same order.
	targets []*targetLimit
	byID    map[pimentospread.TargetID]*targetLimit
	// ownedTargets are the targets at which this host owns slots in the current turn.
	ownedTargets []*targetLimit
	// spareOrder is the order in which this host tries the targets for its spare slot.
	spareOrder []*targetLimit
	// sparesInUse counts running requests without an owned slot. It is at most one.
	sparesInUse int
	history     shedHistory
	// meanDuration is the mean duration of successful requests in seconds, or zero before the first.
	meanDuration float64
}

// advanceTurn sets the slots that this host owns in the current turn.
func (g *targetGroup) advanceTurn(now time.Time) {
	length := int64(g.assignment.turnLength())
	turn := now.UnixNano() / length
	if turn == g.turn {
		return
	}
	g.turn, g.turnEnds = turn, time.Unix(0, (turn+1)*length)
	for _, t := range g.targets {
		t.grow(now)
		t.deficit = t.maxLimit() - t.limit
		t.owned, t.leaving = t.owned[:0], 0
	}
	next := g.assignment.owned(g.self, turn+1)
	for _, s := range g.assignment.owned(g.self, turn) {
		t := g.byID[s.target]
		t.owned = append(t.owned, s.number)
		if !slices.Contains(next, s) {
			t.leaving++
		}
	}
	g.ownedTargets = g.ownedTargets[:0]
	for _, t := range g.targets {
		t.limit = max(0, t.maxLimit()-t.deficit)
		if len(t.owned) > 0 {
			g.ownedTargets = append(g.ownedTargets, t)
		}
	}
}

// reassign divides the slots among the live hosts again. Targets that take no new work are left out.
func (g *targetGroup) reassign(now time.Time) {
	g.byID = make(map[pimentospread.TargetID]*targetLimit, len(g.targets))
	var open []pool.Target
	for i, t := range g.targets {
		g.byID[t.id] = t
		if !t.closed() {
			open = append(open, g.published[i])
		}
	}
	g.assignment = newSlotAssignment(open, g.live)
	g.spareOrder = g.spareOrder[:0]
	for _, id := range rendezvousOrder(open, g.self) {
		g.spareOrder = append(g.spareOrder, g.byID[id])
	}
	g.turn = noTurn
	g.advanceTurn(now)
}

// pickTarget returns the target with a free owned slot that was used least, or the
// target of the spare slot. The spare slot is for requests for which no owned slot
// becomes free soon, because the targets are excluded, cold or limited to less
// than one slot.
func (g *targetGroup) pickTarget(now time.Time, excluded []pimentospread.TargetID) *targetLimit {
	g.advanceTurn(now)
	var best *targetLimit
	busy := len(g.ownedTargets) == 0 && g.assignment.sometimesSlotless(g.self)
	for _, t := range g.ownedTargets {
		if slices.Contains(excluded, t.id) {
			continue
		}
		usable := t.usable(now)
		busy = busy || usable > 0 || t.nearHandover(now)
		if t.running >= usable {
			continue
		}
		if best == nil || t.preferredTo(best, now) {
			best = t
		}
	}
	if best != nil || busy || g.sparesInUse > 0 {
		return best
	}
	return g.pickSpare(now, excluded)
}

// pickSpare takes the spare slot at the first idle target in spareOrder that
// takes work, or returns nil.
func (g *targetGroup) pickSpare(now time.Time, excluded []pimentospread.TargetID) *targetLimit {
	for _, t := range g.spareOrder {
		if t.closed() || t.running > 0 || slices.Contains(excluded, t.id) {
			continue
		}
		t.grow(now)
		if t.limit < 1 {
			continue
		}
		t.sparesInUse++
		g.sparesInUse++
		return t
	}
	return nil
}

// isFastFailure reports whether a failure after the given time counts against the
// target and not the request: it came within half the mean duration of a
// success, and the target fails more often than the others that were tried.
func (g *targetGroup) isFastFailure(t *targetLimit, duration time.Duration) bool {
	if g.meanDuration > 0 && duration.Seconds() > g.meanDuration/2 {
		return false
	}
	sum, n := 0.0, 0
	for _, o := range g.targets {
		if o != t && o.attempted {
			sum += o.failureRate
			n++
		}
	}
	return t.failureRate > failureMargin+failureFactor*sum/float64(max(1, n))
}

// nearHandover reports whether a request of mean duration would run past the end
// of the turn. The pause before the handover is at most half the time for which a
// host owns a slot.
func (g *targetGroup) nearHandover(now time.Time) bool {
	owned := g.assignment.turnLength().Seconds() * float64(len(g.assignment.rotating))
	pause := min(g.meanDuration, owned/2)
	return g.turnEnds.Sub(now).Seconds() < pause
}

// recordDuration adds the duration of a successful request.
func (g *targetGroup) recordDuration(duration time.Duration) {
	if g.meanDuration == 0 {
		g.meanDuration = duration.Seconds()
		return
	}
	g.meanDuration += sampleWeight * (duration.Seconds() - g.meanDuration)
}
