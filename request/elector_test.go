package request_test

import (
	"testing"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

// TestElectorGrantsToOneClaimant guards against a grant that two claimants hold or
// that no claimant can get again, when releases and copies of claims arrive out of
// order.
func TestElectorGrantsToOneClaimant(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	id := pimentospread.RequestID{Caller: 1, Sequence: 1}
	a, b, restarted := request.Claimant{Host: "a", Incarnation: 1}, request.Claimant{Host: "b", Incarnation: 1}, request.Claimant{Host: "a", Incarnation: 2}
	rosters := []pimentospread.ObjectVersion{3}
	claim := func(e *request.Elector, at time.Duration, round uint32, by request.Claimant) request.Verdict {
		v, _ := e.HandleClaim(start.Add(at), &request.Claim{
			Request: id, Round: round, Rosters: rosters, Deadline: start.Add(8 * time.Second),
		}, by)
		return v
	}
	release := func(e *request.Elector, round uint32, by request.Claimant) {
		e.Release(start, &request.ClaimRelease{Request: id, Round: round}, by)
	}
	cases := map[string]struct {
		before func(e *request.Elector)
		at     time.Duration
		round  uint32
		by     request.Claimant
		want   request.Verdict
	}{
		"second claimant":                   {func(e *request.Elector) { claim(e, 0, 1, a) }, 0, 1, b, request.HeldByOther},
		"later incarnation of the claimant": {func(e *request.Elector) { claim(e, 0, 1, a) }, 0, 1, restarted, request.HeldByOther},
		"late release of an earlier round": {func(e *request.Elector) {
			claim(e, 0, 1, a)
			claim(e, 0, 2, a)
			release(e, 1, a)
		}, 0, 1, b, request.HeldByOther},
		"release of another claimant": {func(e *request.Elector) {
			claim(e, 0, 1, a)
			release(e, 1, b)
		}, 0, 1, b, request.HeldByOther},
		"copy of a claim after its release": {func(e *request.Elector) { release(e, 1, a) }, 0, 1, a, request.NotGranting},
		"released grant": {func(e *request.Elector) {
			claim(e, 0, 1, a)
			release(e, 1, a)
		}, 0, 1, b, request.Granted},
		"just after a pause":                      {func(e *request.Elector) { e.Resume(start) }, time.Second, 1, a, request.NotGranting},
		"some time after a pause":                 {func(e *request.Elector) { e.Resume(start) }, 2 * time.Second, 1, a, request.Granted},
		"deadline passed":                         {func(*request.Elector) {}, 8 * time.Second, 1, a, request.DeadlineOutOfRange},
		"claim with an older roster":              {newer(&rosters, 3), 0, 1, a, request.RosterMismatch},
		"claim without an effective older roster": {newer(&rosters, 4), 0, 1, a, request.RosterMismatch},
		"claim with both rosters":                 {newer(&rosters, 4, 3), 0, 1, a, request.Granted},
		"peer that has not sent its rosters": {func(e *request.Elector) {
			e.Configure(start, member.Roster{}, member.Roster{}, request.AnnouncedVersions{"a": 3, "b": 3, "d": 3}, 0)
		}, 0, 1, a, request.NotGranting},
		"partitioned": {func(e *request.Elector) {
			e.Configure(start, member.Roster{}, member.Roster{}, request.AnnouncedVersions{}, 0)
		}, 0, 1, a, request.NotGranting},
	}
	roster := member.Roster{Version: 3, Hosts: []member.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := request.NewElector("c", start.Add(-time.Hour))
			e.Configure(start, roster, member.Roster{}, request.AnnouncedVersions{"a": 3, "b": 3}, 10*time.Second)
			e.AddPeerRosters(start, "a", nil)
			e.AddPeerRosters(start, "b", nil)
			rosters = []pimentospread.ObjectVersion{3}
			c.before(e)
			if got := claim(e, c.at, c.round, c.by); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

// newer returns a step that gives the elector a newer roster and sets the versions in claims.
func newer(rosters *[]pimentospread.ObjectVersion, versions ...pimentospread.ObjectVersion) func(*request.Elector) {
	return func(e *request.Elector) {
		*rosters = versions
		next := member.Roster{Version: 4, Hosts: []member.Host{{ID: "b"}, {ID: "c"}, {ID: "d"}}}
		e.Configure(time.Unix(1_800_000_000, 0), next, member.Roster{}, request.AnnouncedVersions{"a": 3, "b": 4}, 0)
	}
}
