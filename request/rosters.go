package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

// peerTimeout is the time after its last heartbeat for which a peer counts as reachable.
const peerTimeout = 3 * time.Second

// maxRosterAge is the time after its replacement when a roster stops being
// effective even if its hosts never confirm a newer one, because at least half of
// them were lost at once. It is twice the longest expected partition between regions.
const maxRosterAge = 2 * time.Hour

// AnnouncedVersions maps each reachable peer to the roster version that it announces.
type AnnouncedVersions map[pimentospread.HostID]pimentospread.ObjectVersion

// Rosters holds the effective rosters, under which claims are decided: the newest
// one, and older ones under which a host without the newest may still grant.
//
// An elector grants only while it reaches at least half of the hosts of each
// effective roster. An older roster stops being effective some time after more
// than half of its hosts have announced a newer one. Any two such sets share a
// host, so an elector that still uses the older roster receives the announcement
// of the newer one and stops granting.
type Rosters struct {
	self    pimentospread.HostID
	current member.Roster
	// older is sorted by descending version.
	older []olderRoster
}

// olderRoster is a roster that a newer one has replaced.
type olderRoster struct {
	member.Roster
	replacedAt time.Time
	// confirmed are the hosts that have a newer roster.
	confirmed map[pimentospread.HostID]bool
	// majorityAt is the time at which more than half of the hosts had confirmed, or zero.
	majorityAt time.Time
}

// NewRosters returns the rosters of a host that has not received any.
func NewRosters(self pimentospread.HostID) *Rosters { return &Rosters{self: self} }

// Add adds the newest roster and the one before it, which may be empty. The newest
// one becomes current if its version is higher than that of the current roster.
func (r *Rosters) Add(now time.Time, current, previous member.Roster) {
	if current.Version > r.current.Version {
		r.addOlder(now, r.current)
		r.current = current
	}
	if previous.Version < r.current.Version {
		r.addOlder(now, previous)
	}
}

// addOlder adds a roster that is no longer the newest.
func (r *Rosters) addOlder(now time.Time, roster member.Roster) {
	known := slices.ContainsFunc(r.older, func(o olderRoster) bool { return o.Version == roster.Version })
	if roster.Version == 0 || known {
		return
	}
	r.older = append(r.older, olderRoster{Roster: roster, replacedAt: now, confirmed: map[pimentospread.HostID]bool{}})
	slices.SortFunc(r.older, func(a, b olderRoster) int { return int(b.Version) - int(a.Version) })
}

// RecordAnnounced records which hosts of the older rosters announce a newer version.
func (r *Rosters) RecordAnnounced(now time.Time, announced AnnouncedVersions) {
	for i := range r.older {
		o := &r.older[i]
		hosts := eligibleHosts(o.Roster)
		for _, h := range hosts {
			if h.ID == r.self || announced[h.ID] > o.Version {
				o.confirmed[h.ID] = true
			}
		}
		if o.majorityAt.IsZero() && 2*len(o.confirmed) > len(hosts) {
			o.majorityAt = now
		}
	}
}

// Effective returns the rosters whose electors have to grant a claim, newest first.
// The lifetime is the longest time from a grant to the deadline of its request.
func (r *Rosters) Effective(now time.Time, lifetime time.Duration) []member.Roster {
	if r.current.Version == 0 {
		return nil
	}
	effective := []member.Roster{r.current}
	for _, o := range r.older {
		if !o.obsolete(now, lifetime) {
			effective = append(effective, o.Roster)
		}
	}
	return effective
}

// obsolete reports whether all grants under the roster have expired or maxRosterAge
// has passed. The last grant was made at most peerTimeout after a majority
// confirmed, and the heartbeat that confirmed took less than Retention to arrive.
func (o *olderRoster) obsolete(now time.Time, lifetime time.Duration) bool {
	if now.Sub(o.replacedAt) >= maxRosterAge {
		return true
	}
	return !o.majorityAt.IsZero() && now.Sub(o.majorityAt) >= lifetime+peerTimeout+Retention
}

// MayGrant reports whether the host reaches at least half of the hosts of each
// effective roster and no peer announces a newer roster than the current one.
func (r *Rosters) MayGrant(now time.Time, lifetime time.Duration, announced AnnouncedVersions) bool {
	for _, v := range announced {
		if v > r.current.Version {
			return false
		}
	}
	effective := r.Effective(now, lifetime)
	for _, roster := range effective {
		hosts, reachable := eligibleHosts(roster), 0
		for _, h := range hosts {
			if _, ok := announced[h.ID]; ok || h.ID == r.self {
				reachable++
			}
		}
		if 2*reachable < len(hosts) {
			return false
		}
	}
	return len(effective) > 0
}
