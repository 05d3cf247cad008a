package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

func (r *RequestDispatcher) self() request.Owner {
	return request.Owner{Host: r.deps.Self, Incarnation: r.deps.Incarnation}
}

// claim opens the next round of a request's campaign.
func (r *RequestDispatcher) claim(now time.Time, e *request.Entry, actions *RequestActions) {
	e.Election.StartRound(now, r.elector.EffectiveRosters(now), e.Request.ID)
	r.ledger.Schedule(e.Request.ID, e.Election.NextTry)
	r.decideRound(now, e, actions)
}

// askElectors sends the claim to electors. This host's own grant needs no message.
func (r *RequestDispatcher) askElectors(now time.Time, e *request.Entry, electors []pimentospread.HostID, actions *RequestActions) {
	c := &request.Claim{
		Request: e.Request.ID, Round: e.Election.Round,
		Rosters: e.Election.Rosters, Deadline: e.Request.Deadline,
	}
	for _, h := range electors {
		if h != r.deps.Self {
			actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: h, Message: c})
			continue
		}
		verdict, holder := r.elector.HandleClaim(now, c, r.self())
		e.Election.RecordVote(h, verdict, holder)
	}
}

// decideRound queues a request whose campaign is won, ends a round that is
// lost, and otherwise asks further electors when refusals call for them.
func (r *RequestDispatcher) decideRound(now time.Time, e *request.Entry, actions *RequestActions) {
	for {
		won, lost := e.Election.Decide()
		if won {
			r.enqueue(now, e, actions)
			return
		}
		if lost {
			r.loseRound(now, e, actions)
			return
		}
		electors := e.Election.NextElectors(r.elector.Reaches)
		if len(electors) == 0 {
			return
		}
		r.askElectors(now, e, electors, actions)
	}
}

// loseRound gives the grants back and asks the hosts that hold others. One of
// them may be the owner, which then replies to the caller.
func (r *RequestDispatcher) loseRound(now time.Time, e *request.Entry, actions *RequestActions) {
	for _, holder := range r.giveUp(now, e, actions) {
		r.inquire(e, holder, actions)
	}
	r.ledger.Schedule(e.Request.ID, e.Election.NextTry)
}

// giveUp gives the grants of the round back and returns the other holders.
func (r *RequestDispatcher) giveUp(now time.Time, e *request.Entry, actions *RequestActions) []request.Owner {
	grantors, holders := e.Election.AbandonRound(now, r.deps.Random.Float64())
	release := &request.ClaimRelease{Request: e.Request.ID, Round: e.Election.Round}
	for _, h := range grantors {
		if h == r.deps.Self {
			r.elector.Release(now, release, r.self())
			continue
		}
		actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: h, Message: release})
	}
	return holders
}

// pursue goes on with a campaign whose next step is due.
func (r *RequestDispatcher) pursue(now time.Time, e *request.Entry, actions *RequestActions) {
	c := e.Election
	if now.Before(c.NextTry) {
		r.ledger.Schedule(e.Request.ID, c.NextTry)
		return
	}
	if !c.RoundOpen() {
		if !c.Exhausted() {
			r.claim(now, e, actions)
		}
		return
	}
	if electors, again := c.Resend(now); again {
		r.ledger.Schedule(e.Request.ID, c.NextTry)
		r.askElectors(now, e, electors, actions)
		r.decideRound(now, e, actions)
		return
	}
	r.loseRound(now, e, actions)
}

// inquire asks a holder to reply to the transmissions that arrived here.
func (r *RequestDispatcher) inquire(e *request.Entry, holder request.Owner, actions *RequestActions) {
	if holder.Host == r.deps.Self {
		return
	}
	for _, o := range e.Origins {
		actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: holder.Host, Message: &request.Inquiry{
			Request: e.Request.ID, Origin: o, Cancelled: e.Request.Cancelled,
		}})
	}
}

// expireDelegated tells the caller of a request whose owner may have died with it.
func (r *RequestDispatcher) expireDelegated(e *request.Entry, actions *RequestActions) {
	e.Stage, e.Outcome, e.Reason = request.Finished, request.Unknown, "another host owned the request"
	live := slices.ContainsFunc(r.view.LiveHosts, func(c member.Candidate) bool { return c.ID == e.Owner.Host })
	if live && r.runs[e.Owner.Host] == e.Owner.Incarnation {
		return
	}
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: request.Unknown, Reason: "owner of the request is gone"})
	}
}
