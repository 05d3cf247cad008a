package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

const (
	// resendAfter is the time until a claim is resent. It is well above the round trip
	// between failure domains of a cell, about 2 ms.
	resendAfter = 100 * time.Millisecond
	// maxResends bounds the resends of a claim in one round.
	maxResends = 2
	// maxRounds bounds the traffic of an election that cannot be won.
	maxRounds = 8
	// basePause is the minimum pause after the first lost round. It doubles with each round.
	basePause = 50 * time.Millisecond
)

// Election is the state of a claimant that asks the electors of a request to make it
// the owner, in one or more rounds.
type Election struct {
	// Round is the number of the current or last round.
	Round uint32
	// Rosters are the versions of the rosters whose electors vote in the round.
	Rosters []pimentospread.ObjectVersion
	// NextTry is the time of the next resend or the next round.
	NextTry   time.Time
	roundOpen bool
	won       bool
	resends   int
	// electorSets are the electors under each roster.
	electorSets [][]pimentospread.HostID
	asked       map[pimentospread.HostID]bool
	verdicts    map[pimentospread.HostID]Verdict
	// holders are the other claimants that hold grants.
	holders []Claimant
}

// StartRound opens the next round with the electors under the rosters.
func (e *Election) StartRound(now time.Time, rosters []member.Roster, id pimentospread.RequestID) {
	e.Round++
	e.roundOpen, e.resends, e.NextTry = true, 0, now.Add(resendAfter)
	e.Rosters, e.electorSets, e.holders = nil, nil, nil
	e.asked, e.verdicts = map[pimentospread.HostID]bool{}, map[pimentospread.HostID]Verdict{}
	for _, r := range rosters {
		e.Rosters = append(e.Rosters, r.Version)
		e.electorSets = append(e.electorSets, Electors(r, id))
	}
}

// NextElectors returns the electors to ask next, and marks them as asked: as few as
// can form a majority under each roster, preferred ones first.
func (e *Election) NextElectors(preferred func(pimentospread.HostID) bool) []pimentospread.HostID {
	var ask []pimentospread.HostID
	for _, set := range e.electorSets {
		missing := len(set)/2 + 1
		for _, h := range set {
			if v, voted := e.verdicts[h]; e.asked[h] && (!voted || v == Granted) {
				missing--
			}
		}
		for _, wantPreferred := range []bool{true, false} {
			for _, h := range set {
				if missing > 0 && !e.asked[h] && preferred(h) == wantPreferred {
					e.asked[h] = true
					ask = append(ask, h)
					missing--
				}
			}
		}
	}
	return ask
}

// RecordVote records an elector's verdict. A grant stands even if a copy of the claim
// was refused before or after it, because only a release revokes it.
func (e *Election) RecordVote(elector pimentospread.HostID, verdict Verdict, holder Claimant) {
	if _, voted := e.verdicts[elector]; voted && verdict != Granted {
		return
	}
	e.verdicts[elector] = verdict
	if verdict == HeldByOther && !slices.Contains(e.holders, holder) {
		e.holders = append(e.holders, holder)
	}
}

// AcceptsRound reports whether the round is the current one and is open.
func (e *Election) AcceptsRound(round uint32) bool { return e.roundOpen && e.Round == round }

// Decide reports whether the round is won, which closes it, or can no longer be won.
func (e *Election) Decide() (won, lost bool) {
	if !e.roundOpen {
		return e.won, false
	}
	won = len(e.electorSets) > 0
	for _, set := range e.electorSets {
		granted, refused, majority := 0, 0, len(set)/2+1
		for _, h := range set {
			switch v, voted := e.verdicts[h]; {
			case voted && v == Granted:
				granted++
			case voted:
				refused++
			}
		}
		won = won && granted >= majority
		lost = lost || len(set)-refused < majority
	}
	e.roundOpen, e.won = !won, won
	return won, lost
}

// Won reports whether the host owns the request.
func (e *Election) Won() bool { return e != nil && e.won }

// unanswered returns the electors that have not voted in this round.
func (e *Election) unanswered() []pimentospread.HostID {
	var unanswered []pimentospread.HostID
	for _, set := range e.electorSets {
		for _, h := range set {
			if _, voted := e.verdicts[h]; !voted && !slices.Contains(unanswered, h) {
				unanswered = append(unanswered, h)
			}
		}
	}
	return unanswered
}

// Resend returns the electors to ask again: all that have not voted. It returns
// false after maxResends resends in the round.
func (e *Election) Resend(now time.Time) ([]pimentospread.HostID, bool) {
	if e.resends == maxResends {
		return nil, false
	}
	e.resends++
	e.NextTry = now.Add(resendAfter << e.resends)
	unanswered := e.unanswered()
	for _, h := range unanswered {
		e.asked[h] = true
	}
	return unanswered, true
}

// RoundOpen reports whether a round is open.
func (e *Election) RoundOpen() bool { return e.roundOpen }

// AbandonRound closes an open round. It returns the electors that may have granted
// it and the other claimants that hold grants. Jitter between 0 and 1 varies the
// pause, so that competing claimants do not collide again.
func (e *Election) AbandonRound(now time.Time, jitter float64) (grantors []pimentospread.HostID, holders []Claimant) {
	if !e.roundOpen {
		return nil, e.holders
	}
	e.roundOpen = false
	for _, set := range e.electorSets {
		for _, h := range set {
			v, voted := e.verdicts[h]
			if e.asked[h] && (!voted || v == Granted) && !slices.Contains(grantors, h) {
				grantors = append(grantors, h)
			}
		}
	}
	pause := basePause << min(e.Round, maxRounds)
	e.NextTry = now.Add(time.Duration(float64(pause) * (0.5 + jitter/2)))
	return grantors, e.holders
}

// Exhausted reports whether the maximum number of rounds is reached.
func (e *Election) Exhausted() bool { return e.Round >= maxRounds }
