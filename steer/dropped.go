package steer

import (
	"maps"
	"time"

	"pimentospread"
)

const (
	// maxUnconfirmedFlows limits the flows that wait for a confirmed view. Packets of others
	// are dropped.
	maxUnconfirmedFlows = 4096
	// unconfirmedLifetime is longer than the time in which callers send a packet again.
	unconfirmedLifetime = 10 * time.Second
	// confirmationMargin is more than an answer of a slow platform takes, 0.24 s. By that much the
	// time of a confirmation may be later than the state that it confirms.
	confirmationMargin = 300 * time.Millisecond
)

// unconfirmedFlows holds the flows of dropped routes that this host saw first when it had
// already dropped the route. Another host may have opened such a flow by a later version of
// the configuration, which has the route again.
type unconfirmedFlows struct {
	// seen is when the first packet of each flow arrived.
	seen map[pimentospread.FlowID]time.Time
	// swept is when old flows were last removed.
	swept time.Time
}

// confirmed reports whether a view that was confirmed at the given time is newer than the
// flow. It records the flow if it is seen for the first time.
func (u *unconfirmedFlows) confirmed(now, confirmed time.Time, id pimentospread.FlowID) bool {
	seen, ok := u.seen[id]
	if !ok {
		seen = now
		u.add(now, id)
	}
	return confirmed.Sub(seen) > confirmationMargin
}

// add records a flow. If there are too many, it first removes those that were seen long ago.
func (u *unconfirmedFlows) add(now time.Time, id pimentospread.FlowID) {
	if len(u.seen) >= maxUnconfirmedFlows && now.Sub(u.swept) >= unconfirmedLifetime {
		u.swept = now
		maps.DeleteFunc(u.seen, func(_ pimentospread.FlowID, seen time.Time) bool { return now.Sub(seen) >= unconfirmedLifetime })
	}
	if len(u.seen) < maxUnconfirmedFlows {
		u.seen[id] = now
	}
}

// followDropped resets a flow of a route that this host has dropped. A flow that the host
// carried before belongs to the dropped route. Any other one may belong to a later version
// of the configuration, unless the view is known to be newer than the flow.
func (s *Steerer) followDropped(now time.Time, p Packet) Action {
	id := p.Key.ID()
	if s.tracker.Tracks(id) || s.unconfirmed.confirmed(now, s.view.Confirmed, id) {
		delete(s.unconfirmed.seen, id)
		return Action{Kind: Reset, Cause: CauseRouteDropped}
	}
	return Action{Kind: Drop, Cause: CauseRouteUnconfirmed}
}
