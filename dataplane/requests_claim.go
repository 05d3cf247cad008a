package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

func (r *Requests) self() request.Owner {
	return request.Owner{Host: r.deps.Self, Incarnation: r.deps.Incarnation}
}

// claim opens the next round of a request's campaign.
func (r *Requests) claim(now time.Time, e *request.Entry, actions *RequestActions) {
	e.Campaign.Begin(now, r.elector.Counted(now), e.Request.ID)
	r.ledger.Wake(e.Request.ID, e.Campaign.Next)
	r.decideRound(now, e, actions)
}

// askElectors sends the claim to electors. This host's own grant needs no message.
func (r *Requests) askElectors(now time.Time, e *request.Entry, electors []pimentospread.HostID, actions *RequestActions) {
	c := &request.Claim{
		Request: e.Request.ID, Round: e.Campaign.Round,
		Rosters: e.Campaign.Rosters, Deadline: e.Request.Deadline,
	}
	for _, h := range electors {
		if h != r.deps.Self {
			actions.Peers = append(actions.Peers, pimentospread.Outbound{To: h, Message: c})
			continue
		}
		verdict, holder := r.elector.Ask(now, c, r.self())
		e.Campaign.Vote(h, verdict, holder)
	}
}

// decideRound queues a request whose campaign is won, ends a round that is
// lost, and otherwise asks further electors when refusals call for them.
func (r *Requests) decideRound(now time.Time, e *request.Entry, actions *RequestActions) {
	for {
		won, lost := e.Campaign.Decide()
		if won {
			r.enqueue(now, e, actions)
			return
		}
		if lost {
			r.loseRound(now, e, actions)
			return
		}
		electors := e.Campaign.Ask(r.elector.Hears)
		if len(electors) == 0 {
			return
		}
		r.askElectors(now, e, electors, actions)
	}
}

// loseRound gives the grants back and asks the hosts that hold others. One of
// them may be the owner, which then replies to the caller.
func (r *Requests) loseRound(now time.Time, e *request.Entry, actions *RequestActions) {
	for _, holder := range r.giveUp(now, e, actions) {
		r.inquire(e, holder, actions)
	}
	r.ledger.Wake(e.Request.ID, e.Campaign.Next)
}

// giveUp gives the grants of the round back and returns the other holders.
func (r *Requests) giveUp(now time.Time, e *request.Entry, actions *RequestActions) []request.Owner {
	grantors, holders := e.Campaign.Abandon(now, r.deps.Random.Float64())
	release := &request.ClaimRelease{Request: e.Request.ID, Round: e.Campaign.Round}
	for _, h := range grantors {
		if h == r.deps.Self {
			r.elector.Release(now, release, r.self())
			continue
		}
		actions.Peers = append(actions.Peers, pimentospread.Outbound{To: h, Message: release})
	}
	return holders
}

// pursue goes on with a campaign whose next step is due.
func (r *Requests) pursue(now time.Time, e *request.Entry, actions *RequestActions) {
	c := e.Campaign
	if now.Before(c.Next) {
		r.ledger.Wake(e.Request.ID, c.Next)
		return
	}
	if !c.Open() {
		if !c.Spent() {
			r.claim(now, e, actions)
		}
		return
	}
	if electors, again := c.Resend(now); again {
		r.ledger.Wake(e.Request.ID, c.Next)
		r.askElectors(now, e, electors, actions)
		r.decideRound(now, e, actions)
		return
	}
	r.loseRound(now, e, actions)
}

// inquire asks a holder to reply to the transmissions that arrived here.
func (r *Requests) inquire(e *request.Entry, holder request.Owner, actions *RequestActions) {
	if holder.Host == r.deps.Self {
		return
	}
	for _, o := range e.Origins {
		actions.Peers = append(actions.Peers, pimentospread.Outbound{To: holder.Host, Message: &request.Inquiry{
			Request: e.Request.ID, Origin: o, Cancelled: e.Request.Cancelled,
		}})
	}
}

// expireDelegated tells the caller of a request whose owner may have died with it.
func (r *Requests) expireDelegated(e *request.Entry, actions *RequestActions) {
	e.Stage, e.Outcome, e.Reason = request.Finished, request.Unknown, "another host owned the request"
	live := slices.ContainsFunc(r.view.Live, func(c member.Candidate) bool { return c.ID == e.Owner.Host })
	if live && r.runs[e.Owner.Host] == e.Owner.Incarnation {
		return
	}
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: request.Unknown, Reason: "owner of the request is gone"})
	}
}
