package dataplane

import (
	"cmp"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

// suspendedInterval is the interval at which the suspended targets are sent to
// the peers. A message of some 80 bytes to each peer costs 20 bytes per second.
const suspendedInterval = 30 * time.Second

// suspension holds the times, in seconds, at which a target was last known to
// have displaced flows: observed in this host's view and tables, or reported by
// a peer. A host sends only its own observations to its peers, because hosts
// that forwarded reports would keep a suspension alive forever.
type suspension struct{ observed, reported uint32 }

// suspendFlaggedTargets marks the flagged and avoided targets of the view as
// suspended, and reports whether one of them was not suspended before.
func (f *FlowShard) suspendFlaggedTargets(now time.Time) bool {
	fresh := false
	for _, targets := range []map[pimentospread.TargetID]bool{f.view.Flagged, f.view.Avoided} {
		for t, set := range targets {
			if set {
				fresh = f.markSuspended(now, t) || fresh
			}
		}
	}
	return fresh
}

func (f *FlowShard) markSuspended(now time.Time, t pimentospread.TargetID) bool {
	fresh := !f.isSuspended(now, t)
	s := f.suspended[t]
	s.observed = f.seconds(now)
	f.suspended[t] = s
	return fresh
}

func (f *FlowShard) markReportedSuspended(now time.Time, t pimentospread.TargetID) {
	if !f.isSuspended(now, t) {
		f.scan.startRound()
	}
	s := f.suspended[t]
	s.reported = f.seconds(now)
	f.suspended[t] = s
}

// isSuspended reports whether flows of the target's buckets may be at other
// targets. This lasts as long as a displaced flow can be idle after the last
// observation of one.
func (f *FlowShard) isSuspended(now time.Time, t pimentospread.TargetID) bool {
	s, ok := f.suspended[t]
	return ok && f.seconds(now)-max(s.observed, s.reported) <= f.scan.idleTimeout+recordIdleGrace
}

// sendSuspended sends the peers the targets for which this host observed displaced flows.
func (f *FlowShard) sendSuspended(now time.Time, a *FlowActions) {
	f.scan.suspendedSentAt = now
	var own []pimentospread.TargetID
	for t, s := range f.suspended {
		if s.observed > 0 && f.seconds(now)-s.observed <= f.scan.idleTimeout+recordIdleGrace {
			own = append(own, t)
		}
	}
	if len(own) == 0 {
		return
	}
	slices.SortFunc(own, cmp.Compare[pimentospread.TargetID])
	for _, h := range f.holders.hosts {
		if h.id != f.view.Self {
			a.PeerMessages = append(a.PeerMessages, pimentospread.Outbound{To: h.id, Message: &flow.RecordHandover{Suspended: own}})
		}
	}
}
