package request_test

import (
	"testing"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

// Guards against a grant that two claimants hold, or that nobody can get again,
// when releases and copies of claims arrive out of order.
func TestElectorKeepsItsWord(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	id := pimentospread.RequestID{Caller: 1, Sequence: 1}
	a, b, later := request.Owner{Host: "a", Incarnation: 1}, request.Owner{Host: "b", Incarnation: 1}, request.Owner{Host: "a", Incarnation: 2}
	claim := func(e *request.Elector, at time.Duration, round uint32, by request.Owner) request.Verdict {
		v, _ := e.Ask(start.Add(at), &request.Claim{
			Request: id, Round: round, Rosters: []pimentospread.ObjectVersion{3}, Deadline: start.Add(8 * time.Second),
		}, by)
		return v
	}
	release := func(e *request.Elector, round uint32, by request.Owner) {
		e.Release(start, &request.ClaimRelease{Request: id, Round: round}, by)
	}
	cases := map[string]func(e *request.Elector) (got, want request.Verdict){
		"second claimant": func(e *request.Elector) (request.Verdict, request.Verdict) {
			claim(e, 0, 1, a)
			return claim(e, 0, 1, b), request.HeldByOther
		},
		"later run of the claimant": func(e *request.Elector) (request.Verdict, request.Verdict) {
			claim(e, 0, 1, a)
			return claim(e, 0, 1, later), request.HeldByOther
		},
		"late release of an earlier round": func(e *request.Elector) (request.Verdict, request.Verdict) {
			claim(e, 0, 1, a)
			claim(e, 0, 2, a)
			release(e, 1, a)
			return claim(e, 0, 1, b), request.HeldByOther
		},
		"release of another claimant": func(e *request.Elector) (request.Verdict, request.Verdict) {
			claim(e, 0, 1, a)
			release(e, 1, b)
			return claim(e, 0, 1, b), request.HeldByOther
		},
		"copy of a claim after its release": func(e *request.Elector) (request.Verdict, request.Verdict) {
			release(e, 1, a)
			return claim(e, 0, 1, a), request.NotGranting
		},
		"given back": func(e *request.Elector) (request.Verdict, request.Verdict) {
			claim(e, 0, 1, a)
			release(e, 1, a)
			return claim(e, 0, 1, b), request.Granted
		},
		"just after a pause": func(e *request.Elector) (request.Verdict, request.Verdict) {
			e.Resume(start)
			return claim(e, time.Second, 1, a), request.NotGranting
		},
		"some time after a pause": func(e *request.Elector) (request.Verdict, request.Verdict) {
			e.Resume(start)
			return claim(e, 2*time.Second, 1, a), request.Granted
		},
		"deadline passed": func(e *request.Elector) (request.Verdict, request.Verdict) {
			return claim(e, 8*time.Second, 1, a), request.OutOfTime
		},
		"cut off": func(e *request.Elector) (request.Verdict, request.Verdict) {
			e.Configure(start, member.Roster{}, member.Roster{}, request.Held{}, 0)
			return claim(e, 0, 1, a), request.NotGranting
		},
	}
	roster := member.Roster{Version: 3, Hosts: []member.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := request.NewElector("c", start.Add(-time.Hour))
			e.Configure(start, roster, member.Roster{}, request.Held{"a": 3, "b": 3}, 10*time.Second)
			e.Learn(start, "a", nil)
			e.Learn(start, "b", nil)
			if got, want := c(e); got != want {
				t.Errorf("verdict %d, want %d", got, want)
			}
		})
	}
}
