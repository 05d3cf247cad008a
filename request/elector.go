package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

// regained is how long a host grants nothing after a pause, so that it hears
// its peers first.
const regained = 2 * time.Second

// Elector grants requests to claimants and remembers its grants.
type Elector struct {
	started  time.Time
	resumed  time.Time
	lifetime time.Duration
	rosters  *Rosters
	held     AnnouncedVersions
	grants   map[pimentospread.RequestID]grant
	// told are the peers that have told which older rosters count, until settled.
	told    map[pimentospread.HostID]bool
	settled bool
}

// grant is what an elector remembers. A released grant stays to refuse a late
// copy of the claim that it was given to.
type grant struct {
	holder   Owner
	round    uint32
	released bool
	expires  time.Time
}

// NewElector returns the elector of a host that started at the given time.
func NewElector(self pimentospread.HostID, started time.Time) *Elector {
	return &Elector{
		started: started, rosters: NewRosters(self),
		grants: map[pimentospread.RequestID]grant{}, told: map[pimentospread.HostID]bool{},
	}
}

// Configure takes the rosters and what the peers announce. Lifetime is the
// longest time from a request's arrival to its deadline; it never falls,
// because grants under a longer one are remembered by nobody after a restart.
func (e *Elector) Configure(now time.Time, current, previous member.Roster, held AnnouncedVersions, lifetime time.Duration) {
	e.lifetime = max(e.lifetime, lifetime)
	e.held = held
	e.rosters.Add(now, current, previous)
	e.rosters.RecordAnnounced(now, held)
}

// Resume notes that the host was paused until now.
func (e *Elector) Resume(now time.Time) { e.resumed = now }

// EffectiveRosters returns the rosters whose electors a claim needs, newest first.
func (e *Elector) EffectiveRosters(now time.Time) []member.Roster {
	return e.rosters.Effective(now, e.lifetime)
}

// PeersToQuery returns the heard peers that this host has to ask for older rosters.
// A host that started without knowing of an older roster would grant requests
// that the electors of the older one grant as well.
func (e *Elector) PeersToQuery() []pimentospread.HostID {
	if e.settled {
		return nil
	}
	var untold []pimentospread.HostID
	for h := range e.held {
		if h != e.rosters.self && !e.told[h] {
			untold = append(untold, h)
		}
	}
	slices.Sort(untold)
	return untold
}

// Reaches says that the host is this one or was heard of late.
func (e *Elector) Reaches(h pimentospread.HostID) bool {
	_, heard := e.held[h]
	return heard || h == e.rosters.self
}

// AddPeerRosters takes the older rosters that a peer counts.
func (e *Elector) AddPeerRosters(now time.Time, from pimentospread.HostID, older []member.Roster) {
	for _, o := range older {
		e.rosters.Add(now, member.Roster{}, o)
	}
	e.told[from] = true
}

// HandleClaim decides a claim. The holder is the claimant that has the grant, if any.
func (e *Elector) HandleClaim(now time.Time, c *Claim, by Owner) (Verdict, Owner) {
	g, known := e.grants[c.Request]
	known = known && now.Before(g.expires)
	if known && g.holder == by {
		if c.Round < g.round || c.Round == g.round && g.released {
			return NotGranting, Owner{}
		}
		if c.Round == g.round {
			return Granted, by
		}
	}
	if known && g.holder != by && !g.released {
		return HeldByOther, g.holder
	}
	if v := e.judge(now, c); v != Granted {
		return v, Owner{}
	}
	e.grants[c.Request] = grant{holder: by, round: c.Round, expires: c.Deadline.Add(Retention)}
	return Granted, by
}

// judge says whether a new grant may be made for the claim.
func (e *Elector) judge(now time.Time, c *Claim) Verdict {
	if !now.Before(c.Deadline) || c.Deadline.Sub(now) > e.lifetime {
		return DeadlineOutOfRange
	}
	// A run of this host before this one may have granted the request.
	if now.Sub(e.started) < e.lifetime || now.Sub(e.resumed) < regained {
		return NotGranting
	}
	if !e.rosters.MayGrant(now, e.lifetime, e.held) || len(e.PeersToQuery()) > 0 {
		return NotGranting
	}
	e.settled = true
	counted := e.EffectiveRosters(now)
	if c.Rosters[0] != counted[0].Version || !slices.Contains(c.Rosters, counted[len(counted)-1].Version) {
		return RosterMismatch
	}
	return Granted
}

// Release takes a round's grant back. Without a grant it refuses a late copy of the claim.
func (e *Elector) Release(now time.Time, release *ClaimRelease, by Owner) {
	g, known := e.grants[release.Request]
	if known && now.Before(g.expires) && (g.holder != by || g.round > release.Round) {
		return
	}
	g.holder, g.round, g.released = by, release.Round, true
	if !known {
		g.expires = now.Add(e.lifetime + Retention)
	}
	e.grants[release.Request] = g
}

// Expire forgets the grants that no claim can contradict any more.
func (e *Elector) Expire(now time.Time) {
	for id, g := range e.grants {
		if !now.Before(g.expires) {
			delete(e.grants, id)
		}
	}
}

// Grants returns the number of remembered grants.
func (e *Elector) Grants() int { return len(e.grants) }
