package request

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

const (
	// resendAfter is well above the round trip between failure domains of a cell, about 2 ms.
	resendAfter = 100 * time.Millisecond
	// maxResends bounds the copies of a claim in one round.
	maxResends = 2
	// maxRounds bounds the bytes of a claim that cannot be won.
	maxRounds = 8
	// firstPause is the pause after the first lost round; it doubles with each round.
	firstPause = 50 * time.Millisecond
)

// Election is a claimant's try to become the owner of a request, in rounds.
type Election struct {
	// Round is the number of the current or last round.
	Round uint32
	// Rosters are the versions that the round goes by.
	Rosters []pimentospread.ObjectVersion
	// NextTry is the time of the next resend or round.
	NextTry time.Time
	open    bool
	won     bool
	resends int
	sets    [][]pimentospread.HostID
	asked   map[pimentospread.HostID]bool
	votes   map[pimentospread.HostID]Verdict
	holders []Owner
}

// StartRound opens the next round under the rosters.
func (c *Election) StartRound(now time.Time, rosters []member.Roster, id pimentospread.RequestID) {
	c.Round++
	c.open, c.resends, c.NextTry = true, 0, now.Add(resendAfter)
	c.Rosters, c.sets, c.holders = nil, nil, nil
	c.asked, c.votes = map[pimentospread.HostID]bool{}, map[pimentospread.HostID]Verdict{}
	for _, r := range rosters {
		c.Rosters = append(c.Rosters, r.Version)
		c.sets = append(c.sets, Electors(r, id))
	}
}

// NextElectors returns the electors to ask next, as few as can make a majority in each
// roster, and those that likely answer first.
func (c *Election) NextElectors(likely func(pimentospread.HostID) bool) []pimentospread.HostID {
	var ask []pimentospread.HostID
	for _, set := range c.sets {
		missing := len(set)/2 + 1
		for _, h := range set {
			if v, voted := c.votes[h]; c.asked[h] && (!voted || v == Granted) {
				missing--
			}
		}
		for _, wanted := range []bool{true, false} {
			for _, h := range set {
				if missing > 0 && !c.asked[h] && likely(h) == wanted {
					c.asked[h] = true
					ask = append(ask, h)
					missing--
				}
			}
		}
	}
	return ask
}

// RecordVote counts an elector's verdict. A grant stands even when a copy of the
// claim was refused before or after it, because only a release takes it back.
func (c *Election) RecordVote(elector pimentospread.HostID, verdict Verdict, holder Owner) {
	if _, voted := c.votes[elector]; voted && verdict != Granted {
		return
	}
	c.votes[elector] = verdict
	if verdict == HeldByOther && !slices.Contains(c.holders, holder) {
		c.holders = append(c.holders, holder)
	}
}

// AcceptsRound says that the round is open.
func (c *Election) AcceptsRound(round uint32) bool { return c.open && c.Round == round }

// Decide says whether the round is won, which closes it, or can no longer be won.
func (c *Election) Decide() (won, lost bool) {
	if !c.open {
		return c.won, false
	}
	won = len(c.sets) > 0
	for _, set := range c.sets {
		granted, refused, majority := 0, 0, len(set)/2+1
		for _, h := range set {
			switch v, voted := c.votes[h]; {
			case voted && v == Granted:
				granted++
			case voted:
				refused++
			}
		}
		won = won && granted >= majority
		lost = lost || len(set)-refused < majority
	}
	c.open, c.won = !won, won
	return won, lost
}

// Won says that the host owns the request.
func (c *Election) Won() bool { return c != nil && c.won }

// silent returns the electors that have not voted in this round.
func (c *Election) silent() []pimentospread.HostID {
	var silent []pimentospread.HostID
	for _, set := range c.sets {
		for _, h := range set {
			if _, voted := c.votes[h]; !voted && !slices.Contains(silent, h) {
				silent = append(silent, h)
			}
		}
	}
	return silent
}

// Resend returns the electors to ask again, which are all that are silent. It
// reports false when the round has been asked often enough.
func (c *Election) Resend(now time.Time) ([]pimentospread.HostID, bool) {
	if c.resends == maxResends {
		return nil, false
	}
	c.resends++
	c.NextTry = now.Add(resendAfter << c.resends)
	silent := c.silent()
	for _, h := range silent {
		c.asked[h] = true
	}
	return silent, true
}

// RoundOpen says that a round is not decided.
func (c *Election) RoundOpen() bool { return c.open }

// AbandonRound closes an open round. It returns the electors that may have granted it
// and the other claimants that hold grants. Jitter is between 0 and 1 and keeps
// competing claimants from meeting again.
func (c *Election) AbandonRound(now time.Time, jitter float64) (grantors []pimentospread.HostID, holders []Owner) {
	if !c.open {
		return nil, c.holders
	}
	c.open = false
	for _, set := range c.sets {
		for _, h := range set {
			v, voted := c.votes[h]
			if c.asked[h] && (!voted || v == Granted) && !slices.Contains(grantors, h) {
				grantors = append(grantors, h)
			}
		}
	}
	pause := firstPause << min(c.Round, maxRounds)
	c.NextTry = now.Add(time.Duration(float64(pause) * (0.5 + jitter/2)))
	return grantors, c.holders
}

// Exhausted says that no further round is worth its bytes.
func (c *Election) Exhausted() bool { return c.Round >= maxRounds }
