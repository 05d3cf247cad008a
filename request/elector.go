package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

// resumeGrace is the time after a pause during which a host grants nothing, so that
// it receives heartbeats from its peers first.
const resumeGrace = 2 * time.Second

// Elector grants requests to claimants on behalf of one host. A claimant owns a request
// once a majority of the electors of the request under each effective roster has
// granted it. The elector keeps each grant until no conflicting claim is possible.
type Elector struct {
	started   time.Time
	resumed   time.Time
	lifetime  time.Duration
	rosters   *Rosters
	announced AnnouncedVersions
	grants    map[pimentospread.RequestID]grant
	// replied are the peers that have sent their older rosters, until rostersComplete.
	replied map[pimentospread.HostID]bool
	// rostersComplete is true once no peer has to be queried for older rosters.
	rostersComplete bool
}

// grant is a grant of one request. A released grant is kept to refuse a late copy
// of its claim.
type grant struct {
	holder   Claimant
	round    uint32
	released bool
	expires  time.Time
}

// NewElector returns the elector of a host that started at the given time. It
// grants nothing until Configure has set a roster and the lifetime has passed since
// the start.
func NewElector(self pimentospread.HostID, started time.Time) *Elector {
	return &Elector{
		started: started, rosters: NewRosters(self),
		grants: map[pimentospread.RequestID]grant{}, replied: map[pimentospread.HostID]bool{},
	}
}

// Configure sets the rosters, the versions that the peers announce and the
// lifetime, the longest time from a request's arrival to its deadline. The lifetime
// is never lowered, because grants with a longer one may have been lost in a restart.
func (e *Elector) Configure(now time.Time, current, previous member.Roster, announced AnnouncedVersions, lifetime time.Duration) {
	e.lifetime = max(e.lifetime, lifetime)
	e.announced = announced
	e.rosters.Add(now, current, previous)
	e.rosters.RecordAnnounced(now, announced)
}

// Resume records that the host was paused until now.
func (e *Elector) Resume(now time.Time) { e.resumed = now }

// EffectiveRosters returns the rosters whose electors have to grant a claim, newest first.
func (e *Elector) EffectiveRosters(now time.Time) []member.Roster {
	return e.rosters.Effective(now, e.lifetime)
}

// PeersToQuery returns the reachable peers that this host has to query for older
// rosters. A host that has started without an effective older roster would grant
// requests that the electors under the older roster grant as well.
func (e *Elector) PeersToQuery() []pimentospread.HostID {
	if e.rostersComplete {
		return nil
	}
	var peers []pimentospread.HostID
	for h := range e.announced {
		if h != e.rosters.self && !e.replied[h] {
			peers = append(peers, h)
		}
	}
	slices.Sort(peers)
	return peers
}

// Reaches reports whether the host is this one or a reachable peer.
func (e *Elector) Reaches(h pimentospread.HostID) bool {
	_, reachable := e.announced[h]
	return reachable || h == e.rosters.self
}

// AddPeerRosters adds the older rosters from a peer's reply.
func (e *Elector) AddPeerRosters(now time.Time, from pimentospread.HostID, older []member.Roster) {
	for _, o := range older {
		e.rosters.Add(now, member.Roster{}, o)
	}
	e.replied[from] = true
}

// HandleClaim decides on a claim and records a new grant. It returns the verdict and
// the claimant that holds the grant, if any.
func (e *Elector) HandleClaim(now time.Time, c *Claim, claimant Claimant) (Verdict, Claimant) {
	g, known := e.grants[c.Request]
	known = known && now.Before(g.expires)
	if known && g.holder == claimant {
		if c.Round < g.round || c.Round == g.round && g.released {
			return NotGranting, Claimant{}
		}
		if c.Round == g.round {
			return Granted, claimant
		}
	}
	if known && g.holder != claimant && !g.released {
		return HeldByOther, g.holder
	}
	if v := e.checkClaim(now, c); v != Granted {
		return v, Claimant{}
	}
	e.grants[c.Request] = grant{holder: claimant, round: c.Round, expires: c.Deadline.Add(Retention)}
	return Granted, claimant
}

// checkClaim returns Granted when a new grant may be made for the claim, or the
// reason why not. It sets rostersComplete.
func (e *Elector) checkClaim(now time.Time, c *Claim) Verdict {
	if !now.Before(c.Deadline) || c.Deadline.Sub(now) > e.lifetime {
		return DeadlineOutOfRange
	}
	// The previous incarnation of this host may have granted the request.
	if now.Sub(e.started) < e.lifetime || now.Sub(e.resumed) < resumeGrace {
		return NotGranting
	}
	if !e.rosters.MayGrant(now, e.lifetime, e.announced) || len(e.PeersToQuery()) > 0 {
		return NotGranting
	}
	e.rostersComplete = true
	effective := e.EffectiveRosters(now)
	if c.Rosters[0] != effective[0].Version || !slices.Contains(c.Rosters, effective[len(effective)-1].Version) {
		return RosterMismatch
	}
	return Granted
}

// Release revokes the grant of a round. If there is no grant, it makes the elector
// refuse a late copy of the claim.
func (e *Elector) Release(now time.Time, release *ClaimRelease, claimant Claimant) {
	g, known := e.grants[release.Request]
	if known && now.Before(g.expires) && (g.holder != claimant || g.round > release.Round) {
		return
	}
	g.holder, g.round, g.released = claimant, release.Round, true
	if !known {
		g.expires = now.Add(e.lifetime + Retention)
	}
	e.grants[release.Request] = g
}

// Expire removes the grants whose requests can no longer be claimed.
func (e *Elector) Expire(now time.Time) {
	for id, g := range e.grants {
		if !now.Before(g.expires) {
			delete(e.grants, id)
		}
	}
}

// Grants returns the number of grants that are kept, including released ones.
func (e *Elector) Grants() int { return len(e.grants) }
