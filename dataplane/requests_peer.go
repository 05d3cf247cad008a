package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/request"
)

// HandlePeerMessage handles a message from another host.
func (r *RequestDispatcher) HandlePeerMessage(now time.Time, in pimentospread.Inbound, actions *RequestActions) {
	r.resumeElectorAfterPause(now)
	r.peerIncarnations[in.From] = max(r.peerIncarnations[in.From], in.Incarnation)
	by := request.Claimant{Host: in.From, Incarnation: in.Incarnation}
	switch m := in.Message.(type) {
	case *request.Claim:
		verdict, holder := r.elector.HandleClaim(now, m, by)
		r.sendTo(in.From, &request.ClaimReply{Request: m.Request, Round: m.Round, Verdict: verdict, Holder: holder}, actions)
	case *request.ClaimReply:
		r.handleClaimReply(now, in.From, m, actions)
	case *request.ClaimRelease:
		r.elector.Release(now, m, by)
	case *request.Inquiry:
		r.sendTo(in.From, &request.InquiryReply{Request: m.Request, Knowledge: r.handleInquiry(now, m, actions)}, actions)
	case *request.InquiryReply:
		r.handleInquiryReply(now, by, m, actions)
	case *request.RostersQuery:
		if effective := r.elector.EffectiveRosters(now); len(effective) > 0 {
			r.sendTo(in.From, &request.RostersReply{Older: effective[1:]}, actions)
		}
	case *request.RostersReply:
		r.elector.AddPeerRosters(now, in.From, m.Older)
	default:
		actions.Drops = append(actions.Drops, DropUnknownMessage)
	}
}

func (r *RequestDispatcher) sendTo(to pimentospread.HostID, m pimentospread.Message, actions *RequestActions) {
	actions.PeerMessages = append(actions.PeerMessages, pimentospread.Outbound{To: to, Message: m})
}

// handleClaimReply counts the vote of an elector. It releases a grant that
// arrives for an abandoned round.
func (r *RequestDispatcher) handleClaimReply(now time.Time, elector pimentospread.HostID, m *request.ClaimReply, actions *RequestActions) {
	e := r.requestTable.Find(m.Request)
	granted := m.Verdict == request.Granted
	if e == nil || e.Election == nil || granted && m.Holder != r.self() {
		actions.Drops = append(actions.Drops, DropStaleReply)
		return
	}
	if e.Stage == request.Claiming && e.Election.AcceptsRound(m.Round) {
		e.Election.RecordVote(elector, m.Verdict, m.Holder)
		r.evaluateRound(now, e, actions)
		return
	}
	if granted && !e.Election.Won() {
		r.sendTo(elector, &request.ClaimRelease{Request: m.Request, Round: m.Round}, actions)
	}
}

// handleInquiry replies to the caller of a transmission that another host
// received, if this host owns the request. It returns the state of the request here.
func (r *RequestDispatcher) handleInquiry(now time.Time, m *request.Inquiry, actions *RequestActions) request.OwnershipStatus {
	e := r.requestTable.Find(m.Request)
	switch {
	case e != nil && e.Election.Won():
		if m.Cancelled {
			r.cancel(now, e, actions)
			return request.Owned
		}
		r.replyToRetransmission(e, m.Origin, actions)
		return request.Owned
	case e != nil && e.Stage == request.Claiming:
		return request.Undecided
	}
	return request.NotOwned
}

// handleInquiryReply delegates the request to the sender if that host owns it.
// Other replies need no action, because the next round of the election decides.
func (r *RequestDispatcher) handleInquiryReply(now time.Time, by request.Claimant, m *request.InquiryReply, actions *RequestActions) {
	e := r.requestTable.Find(m.Request)
	if e == nil || e.Stage != request.Claiming || m.Knowledge != request.Owned {
		return
	}
	r.abandonRound(now, e, actions)
	e.Stage, e.Owner = request.Delegated, by
	r.statsFor(e).Delegated++
}
