package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

func (r *RequestDispatcher) self() request.Claimant {
	return request.Claimant{Host: r.deps.Self, Incarnation: r.deps.Incarnation}
}

// startRound starts the next round of a request's election.
func (r *RequestDispatcher) startRound(now time.Time, e *request.Entry, actions *RequestActions) {
	e.Election.StartRound(now, r.elector.EffectiveRosters(now), e.Request.ID)
	r.requestTable.Schedule(e.Request.ID, e.Election.NextTry)
	r.evaluateRound(now, e, actions)
}

// askElectors sends the claim to the electors. If this host is one of them, its
// own vote needs no message.
func (r *RequestDispatcher) askElectors(now time.Time, e *request.Entry, electors []pimentospread.HostID, actions *RequestActions) {
	claim := &request.Claim{
		Request: e.Request.ID, Round: e.Election.Round,
		Rosters: e.Election.Rosters, Deadline: e.Request.Deadline,
	}
	for _, h := range electors {
		if h != r.deps.Self {
			actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: h, Message: claim})
			continue
		}
		verdict, holder := r.elector.HandleClaim(now, claim, r.self())
		e.Election.RecordVote(h, verdict, holder)
	}
}

// evaluateRound enqueues a request whose election is won, ends a round that is
// lost, and otherwise asks further electors if refusals make this necessary.
func (r *RequestDispatcher) evaluateRound(now time.Time, e *request.Entry, actions *RequestActions) {
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

// loseRound releases the grants of the round and sends inquiries to the hosts
// that hold the other grants. One of them may own the request and then replies
// to the caller.
func (r *RequestDispatcher) loseRound(now time.Time, e *request.Entry, actions *RequestActions) {
	for _, holder := range r.abandonRound(now, e, actions) {
		r.sendInquiries(e, holder, actions)
	}
	r.requestTable.Schedule(e.Request.ID, e.Election.NextTry)
}

// abandonRound releases the grants of the round and returns the hosts that hold other grants.
func (r *RequestDispatcher) abandonRound(now time.Time, e *request.Entry, actions *RequestActions) []request.Claimant {
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

// continueElection performs the next step of an election if it is due: it starts
// a round, sends the claim again, or ends the round.
func (r *RequestDispatcher) continueElection(now time.Time, e *request.Entry, actions *RequestActions) {
	election := e.Election
	if now.Before(election.NextTry) {
		r.requestTable.Schedule(e.Request.ID, election.NextTry)
		return
	}
	if !election.RoundOpen() {
		if !election.Exhausted() {
			r.startRound(now, e, actions)
		}
		return
	}
	if electors, again := election.Resend(now); again {
		r.requestTable.Schedule(e.Request.ID, election.NextTry)
		r.askElectors(now, e, electors, actions)
		r.evaluateRound(now, e, actions)
		return
	}
	r.loseRound(now, e, actions)
}

// sendInquiries asks the holder of a grant to reply to the transmissions that this host received.
func (r *RequestDispatcher) sendInquiries(e *request.Entry, holder request.Claimant, actions *RequestActions) {
	if holder.Host == r.deps.Self {
		return
	}
	for _, o := range e.Origins {
		actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: holder.Host, Message: &request.Inquiry{
			Request: e.Request.ID, Origin: o, Cancelled: e.Request.Cancelled,
		}})
	}
}

// expireDelegated ends a delegated request. It replies to the caller only if the
// owner has failed or restarted, because otherwise the owner replies.
func (r *RequestDispatcher) expireDelegated(e *request.Entry, actions *RequestActions) {
	e.Stage, e.Outcome, e.Reason = request.Finished, request.Unknown, "another host owned the request"
	live := slices.ContainsFunc(r.view.LiveHosts, func(c member.Candidate) bool { return c.ID == e.Owner.Host })
	if live && r.peerIncarnations[e.Owner.Host] == e.Owner.Incarnation {
		return
	}
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: request.Unknown, Reason: "owner of the request is gone"})
	}
}
