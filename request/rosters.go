package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

// hearing is the time for which a peer counts as heard after its last heartbeat.
const hearing = 3 * time.Second

// forgottenAfter ends the count of a roster whose hosts never confirm a newer
// one, because more than half of them were lost at once. It is twice as long
// as the regions are expected to be cut off from each other.
const forgottenAfter = 2 * time.Hour

// AnnouncedVersions is the roster version that each heard peer announces.
type AnnouncedVersions map[pimentospread.HostID]pimentospread.ObjectVersion

// Rosters are the host lists under which claims are decided: the newest one
// and older ones under which a host that has not heard of it may still grant.
//
// An elector grants only while it hears at least half of each counted roster,
// and an older roster stops counting some time after more than half of its
// hosts have announced a newer one. Any two such sets share a host, so an
// elector that still goes by the older roster hears of the newer one first.
type Rosters struct {
	self    pimentospread.HostID
	current member.Roster
	// older are in falling order of their versions.
	older []olderRoster
}

type olderRoster struct {
	member.Roster
	replaced  time.Time
	confirmed map[pimentospread.HostID]bool
	// majority is the time at which more than half had confirmed, or zero.
	majority time.Time
}

// NewRosters returns the rosters of a host that knows none.
func NewRosters(self pimentospread.HostID) *Rosters { return &Rosters{self: self} }

// Add takes the newest roster and the one before it, which may be empty.
// Versions that are not newer than the current one do not replace it.
func (r *Rosters) Add(now time.Time, current, previous member.Roster) {
	if current.Version > r.current.Version {
		r.retire(now, r.current)
		r.current = current
	}
	if previous.Version < r.current.Version {
		r.retire(now, previous)
	}
}

// retire keeps a roster that is no longer the newest.
func (r *Rosters) retire(now time.Time, roster member.Roster) {
	known := slices.ContainsFunc(r.older, func(o olderRoster) bool { return o.Version == roster.Version })
	if roster.Version == 0 || known {
		return
	}
	r.older = append(r.older, olderRoster{Roster: roster, replaced: now, confirmed: map[pimentospread.HostID]bool{}})
	slices.SortFunc(r.older, func(a, b olderRoster) int { return int(b.Version) - int(a.Version) })
}

// RecordAnnounced takes the versions that the peers announce.
func (r *Rosters) RecordAnnounced(now time.Time, held AnnouncedVersions) {
	for i := range r.older {
		o := &r.older[i]
		hosts := staying(o.Roster)
		for _, h := range hosts {
			if h.ID == r.self || held[h.ID] > o.Version {
				o.confirmed[h.ID] = true
			}
		}
		if o.majority.IsZero() && 2*len(o.confirmed) > len(hosts) {
			o.majority = now
		}
	}
}

// Effective returns the rosters whose electors a claim needs, newest first.
// Lifetime is the longest time from a grant to the deadline of its request.
func (r *Rosters) Effective(now time.Time, lifetime time.Duration) []member.Roster {
	if r.current.Version == 0 {
		return nil
	}
	counted := []member.Roster{r.current}
	for _, o := range r.older {
		if !o.over(now, lifetime) {
			counted = append(counted, o.Roster)
		}
	}
	return counted
}

// over says that no grant under the roster can still matter: its last grant
// was made at most the hearing time after the majority confirmed, and the
// heartbeat that told of it was under way for less than Retention.
func (o *olderRoster) over(now time.Time, lifetime time.Duration) bool {
	if now.Sub(o.replaced) >= forgottenAfter {
		return true
	}
	return !o.majority.IsZero() && now.Sub(o.majority) >= lifetime+hearing+Retention
}

// MayGrant says that the host hears at least half of each counted roster and
// that no peer announces a newer roster than this host holds.
func (r *Rosters) MayGrant(now time.Time, lifetime time.Duration, held AnnouncedVersions) bool {
	for _, v := range held {
		if v > r.current.Version {
			return false
		}
	}
	counted := r.Effective(now, lifetime)
	for _, roster := range counted {
		hosts, heard := staying(roster), 0
		for _, h := range hosts {
			if _, ok := held[h.ID]; ok || h.ID == r.self {
				heard++
			}
		}
		if 2*heard < len(hosts) {
			return false
		}
	}
	return len(counted) > 0
}
