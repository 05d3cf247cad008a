package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/request"
)

// HandlePeerMessage takes a message from another host.
func (r *RequestDispatcher) HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *RequestActions) {
	r.notice(now)
	r.runs[in.From] = max(r.runs[in.From], in.Incarnation)
	by := request.Owner{Host: in.From, Incarnation: in.Incarnation}
	switch m := in.Message.(type) {
	case *request.Claim:
		verdict, holder := r.elector.HandleClaim(now, m, by)
		r.tell(in.From, &request.ClaimReply{Request: m.Request, Round: m.Round, Verdict: verdict, Holder: holder}, actions)
	case *request.ClaimReply:
		r.claimReply(now, in.From, m, actions)
	case *request.ClaimRelease:
		r.elector.Release(now, m, by)
	case *request.Inquiry:
		r.tell(in.From, &request.InquiryReply{Request: m.Request, Knowledge: r.inquiry(now, m, actions)}, actions)
	case *request.InquiryReply:
		r.inquiryReply(now, by, m, actions)
	case *request.RostersQuery:
		if counted := r.elector.EffectiveRosters(now); len(counted) > 0 {
			r.tell(in.From, &request.RostersReply{Older: counted[1:]}, actions)
		}
	case *request.RostersReply:
		r.elector.AddPeerRosters(now, in.From, m.Older)
	default:
		actions.Drops = append(actions.Drops, DropUnknownMessage)
	}
}

func (r *RequestDispatcher) tell(to pimentospread.HostID, m pimentospread.Message, actions *RequestActions) {
	actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: to, Message: m})
}

// claimReply counts a verdict. A grant for a round that was given up goes back.
func (r *RequestDispatcher) claimReply(now time.Time, elector pimentospread.HostID, m *request.ClaimReply, actions *RequestActions) {
	e := r.ledger.Find(m.Request)
	granted := m.Verdict == request.Granted
	if e == nil || e.Election == nil || granted && m.Holder != r.self() {
		actions.Drops = append(actions.Drops, DropStaleReply)
		return
	}
	if e.Stage == request.Claiming && e.Election.AcceptsRound(m.Round) {
		e.Election.RecordVote(elector, m.Verdict, m.Holder)
		r.decideRound(now, e, actions)
		return
	}
	if granted && !e.Election.Won() {
		r.tell(elector, &request.ClaimRelease{Request: m.Request, Round: m.Round}, actions)
	}
}

// inquiry replies to a transmission that another host received, when this host owns the request.
func (r *RequestDispatcher) inquiry(now time.Time, m *request.Inquiry, actions *RequestActions) request.OwnershipStatus {
	e := r.ledger.Find(m.Request)
	switch {
	case e != nil && e.Election.Won():
		if m.Cancelled {
			r.cancel(now, e, actions)
			return request.Owned
		}
		r.repeat(e, m.Origin, actions)
		return request.Owned
	case e != nil && e.Stage == request.Claiming:
		return request.Undecided
	}
	return request.NotOwned
}

// inquiryReply leaves the request to its owner. Any other knowledge changes
// nothing: the next round of the campaign finds out.
func (r *RequestDispatcher) inquiryReply(now time.Time, by request.Owner, m *request.InquiryReply, actions *RequestActions) {
	e := r.ledger.Find(m.Request)
	if e == nil || e.Stage != request.Claiming || m.Knowledge != request.Owned {
		return
	}
	r.giveUp(now, e, actions)
	e.Stage, e.Owner = request.Delegated, by
	r.statsOf(e).Delegated++
}
