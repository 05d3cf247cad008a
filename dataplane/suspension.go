package dataplane

import (
	"cmp"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

// suspendedInterval is the time after which peers are told again of targets
// whose buckets have records. A message of some 80 bytes to each peer costs 20 bytes a second.
const suspendedInterval = 30 * time.Second

// suspension says when a target was last known to have displaced flows: own
// by this host's view and tables, heard by the word of a peer. Only its own
// knowledge is passed on, or else the word would never end.
type suspension struct{ own, heard uint32 }

// suspend takes the flagged and avoided targets of the view, and reports
// whether one of them is new.
func (f *FlowShard) suspend(now time.Time) bool {
	fresh := false
	for _, targets := range []map[pimentospread.TargetID]bool{f.view.Flagged, f.view.Avoided} {
		for t, set := range targets {
			if set {
				fresh = f.ownSuspended(now, t) || fresh
			}
		}
	}
	return fresh
}

func (f *FlowShard) ownSuspended(now time.Time, t pimentospread.TargetID) bool {
	fresh := !f.isSuspended(now, t)
	s := f.suspended[t]
	s.own = f.seconds(now)
	f.suspended[t] = s
	return fresh
}

func (f *FlowShard) heardSuspended(now time.Time, t pimentospread.TargetID) {
	if !f.isSuspended(now, t) {
		f.walk.again()
	}
	s := f.suspended[t]
	s.heard = f.seconds(now)
	f.suspended[t] = s
}

// isSuspended reports whether flows of the target's buckets may be elsewhere.
// They may for as long as a displaced flow can be idle after the last sign of one.
func (f *FlowShard) isSuspended(now time.Time, t pimentospread.TargetID) bool {
	s, ok := f.suspended[t]
	return ok && f.seconds(now)-max(s.own, s.heard) <= f.walk.idle+idleGrace
}

// tellSuspended tells the peers which targets this host knows to have displaced flows.
func (f *FlowShard) tellSuspended(now time.Time, a *FlowActions) {
	f.walk.toldAt = now
	var own []pimentospread.TargetID
	for t, s := range f.suspended {
		if s.own > 0 && f.seconds(now)-s.own <= f.walk.idle+idleGrace {
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
