package dataplane

import (
	"math/rand/v2"
	"time"

	"pimentospread"
	"pimentospread/request"
)

// Causes for dropping messages of requests.
const (
	DropRequestService DropCause = "request_unknown_service"
	DropUnknownCancel  DropCause = "request_unknown_cancel"
	DropUnknownAttempt DropCause = "answer_unknown_attempt"
	DropWrongTarget    DropCause = "answer_wrong_target"
	DropDuplicatePart  DropCause = "answer_duplicate_part"
	DropContradiction  DropCause = "answer_contradiction"
	DropStaleReply     DropCause = "peer_stale_reply"
	DropUnknownMessage DropCause = "peer_unknown_message"
)

// RequestDispatcherDeps holds the dependencies of a RequestDispatcher.
type RequestDispatcherDeps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Admission   pimentospread.Admission
	Placement   pimentospread.Placement
	// Random generates attempt IDs and answer tags. A sender that has not seen them must not be able to guess them.
	Random *rand.Rand
	// Started is the time at which this incarnation started.
	Started time.Time
}

// RequestDispatcher claims requests, sends them to targets and replies to their
// callers. It belongs to one duty and is not safe for concurrent use.
type RequestDispatcher struct {
	deps         RequestDispatcherDeps
	view         *View
	requestTable *request.Table
	attempts     map[pimentospread.AttemptID]*runningAttempt
	stats        requestStatsByKey
	elector      *request.Elector
	// peerIncarnations is the newest incarnation from which each peer has sent a message.
	peerIncarnations map[pimentospread.HostID]pimentospread.Incarnation
	// keptAnswerBytes is the total size of the finished answers in requestTable.
	keptAnswerBytes pimentospread.Bytes
	// lastEvent is the time of the last event. lastSweep is the time of the last
	// run of the work that is done once per second.
	lastEvent, lastSweep time.Time
	// serviceOrder is a buffer that dispatchAll reuses.
	serviceOrder []pimentospread.ServiceID
}

// NewRequestDispatcher returns a dispatcher without a view. It accepts requests after Configure was called.
func NewRequestDispatcher(deps RequestDispatcherDeps) *RequestDispatcher {
	return &RequestDispatcher{
		deps:             deps,
		requestTable:     request.NewTable(),
		attempts:         map[pimentospread.AttemptID]*runningAttempt{},
		elector:          request.NewElector(deps.Self, deps.Started),
		peerIncarnations: map[pimentospread.HostID]pimentospread.Incarnation{},
		stats:            requestStatsByKey{},
	}
}

// Configure replaces the view of the cell.
func (r *RequestDispatcher) Configure(now time.Time, view *View, actions *RequestActions) {
	r.resumeElectorAfterPause(now)
	r.view = view
	r.elector.Configure(now, view.Roster, view.PreviousRoster, view.rosterVersions(), view.maxLifetime())
	r.dispatchAll(now, actions)
}

// HandleRequest handles one transmission of a request from a caller.
func (r *RequestDispatcher) HandleRequest(now time.Time, q request.Request, actions *RequestActions) {
	r.resumeElectorAfterPause(now)
	known := r.requestTable.Find(q.ID)
	switch {
	case q.Cancelled:
		r.cancel(now, known, actions)
	case known != nil:
		r.replyToRetransmission(known, q.Origin, actions)
	default:
		r.accept(now, q, actions)
	}
}

// replyToRetransmission replies to a further transmission of a known request with the
// parts and the outcome so far.
func (r *RequestDispatcher) replyToRetransmission(e *request.Entry, origin request.Origin, actions *RequestActions) {
	e.AddOrigin(origin)
	if e.Stage == request.Delegated {
		r.sendInquiries(e, e.Owner, actions)
		return
	}
	actions.Replies = append(actions.Replies, e.Replies(origin)...)
}

// accept validates a new request and enqueues it, or claims it first if it is not idempotent.
func (r *RequestDispatcher) accept(now time.Time, q request.Request, actions *RequestActions) {
	service := r.service(q.Service)
	if service == nil {
		actions.Drops = append(actions.Drops, DropRequestService)
		return
	}
	key := statKey{q.Service, q.Class}
	if reason := service.malformedReason(now, q); reason != "" {
		r.stats.entry(key).Malformed++
		actions.Replies = append(actions.Replies, request.Reply{Origin: q.Origin, Outcome: request.Malformed, Reason: reason})
		return
	}
	if !now.Before(q.Deadline) {
		// Another host may have run the request before its deadline.
		r.stats.entry(key).Expired++
		actions.Replies = append(actions.Replies, request.Reply{Origin: q.Origin, Outcome: request.Unknown, Reason: "deadline has passed"})
		return
	}
	r.stats.entry(key).Arrived++
	e := request.NewEntry(now, q)
	r.requestTable.Add(e)
	if q.Idempotent {
		r.enqueue(now, e, actions)
		return
	}
	r.startRound(now, e, actions)
}

// malformedReason returns the reason why the request violates the service's
// policy, or an empty string.
func (s *ServiceView) malformedReason(now time.Time, q request.Request) string {
	if q.Deadline.Sub(now) > s.Policy.MaxLifetime.Duration {
		return "deadline is more than " + s.Policy.MaxLifetime.String() + " ahead"
	}
	for _, c := range s.Policy.Classes {
		if c.Name == q.Class {
			return ""
		}
	}
	return "class does not exist in the policy"
}

// HandleLoadReport passes a load report of a target on to the placement.
func (r *RequestDispatcher) HandleLoadReport(now time.Time, report pimentospread.LoadReport) {
	r.deps.Placement.Report(now, report)
}

// requestPauseThreshold is the time without any event after which the host
// counts as paused. Tick is called far more often.
const requestPauseThreshold = 2 * time.Second

// resumeElectorAfterPause runs first for views, requests, peer messages and ticks. If
// its previous run was at least requestPauseThreshold ago, it resumes the elector,
// which then grants nothing until heartbeats of the peers can have arrived.
func (r *RequestDispatcher) resumeElectorAfterPause(now time.Time) {
	if !r.lastEvent.IsZero() && now.Sub(r.lastEvent) >= requestPauseThreshold {
		r.elector.Resume(now)
	}
	r.lastEvent = now
}

// Tick performs the work that is due. It must be called at least twice a second.
func (r *RequestDispatcher) Tick(now time.Time, actions *RequestActions) {
	r.resumeElectorAfterPause(now)
	if now.Sub(r.lastSweep) >= time.Second {
		r.elector.Expire(now)
		for _, h := range r.elector.PeersToQuery() {
			r.sendTo(h, &request.RostersQuery{}, actions)
		}
		r.lastSweep = now
	}
	for {
		e, due := r.requestTable.PopDue(now)
		if !due {
			break
		}
		r.handleDue(now, e, actions)
	}
	for _, refusal := range r.deps.Admission.Expire(now) {
		r.finishRefused(now, refusal, actions)
	}
	r.dispatchAll(now, actions)
}

// handleDue performs the next step of a request whose timer has expired.
func (r *RequestDispatcher) handleDue(now time.Time, e *request.Entry, actions *RequestActions) {
	switch {
	case !now.Before(e.Request.Deadline.Add(request.Retention)):
		r.forget(e)
	case !now.Before(e.Request.Deadline):
		r.expire(now, e, actions)
	case e.Stage == request.Running:
		r.retrySilentAttempt(now, e, actions)
	case e.Stage == request.Claiming:
		r.continueElection(now, e, actions)
	}
}

func (r *RequestDispatcher) forget(e *request.Entry) {
	if e.Stage == request.Finished {
		r.keptAnswerBytes -= e.Answer.Size()
	}
	r.requestTable.Remove(e.Request.ID)
}

// StartLeaving is called when the host begins to shut down. Requests that have arrived
// are still finished and claims are still granted. New requests are kept away
// by the host's readiness, not by the dispatcher.
func (r *RequestDispatcher) StartLeaving(now time.Time, actions *RequestActions) {
	r.resumeElectorAfterPause(now)
	r.dispatchAll(now, actions)
}

// Close ends the remaining requests when the time for shutting down is over.
// Requests that were never sent are refused, and the outcome of the others is
// unknown.
func (r *RequestDispatcher) Close(now time.Time, actions *RequestActions) {
	for _, e := range r.requestTable.Unfinished() {
		const reason = "host shuts down"
		switch e.Stage {
		case request.Claiming:
			r.abandonRound(now, e, actions)
			r.finish(now, e, request.Unknown, reason, actions)
		case request.Waiting:
			r.deps.Admission.Remove(e.Request.ID)
			r.finish(now, e, e.UnsentOutcome(), reason, actions)
		default:
			r.finish(now, e, request.Unknown, reason, actions)
		}
	}
}

// Idle reports whether no request is in progress, so that a leaving host may stop.
func (r *RequestDispatcher) Idle() bool {
	return len(r.requestTable.Unfinished()) == 0 && len(r.attempts) == 0
}

func (r *RequestDispatcher) service(id pimentospread.ServiceID) *ServiceView {
	if r.view == nil {
		return nil
	}
	return r.view.Services[id]
}

// maxLifetime returns the longest request lifetime that the policy of any service allows.
func (v *View) maxLifetime() time.Duration {
	var longest time.Duration
	for _, s := range v.Services {
		longest = max(longest, s.Policy.MaxLifetime.Duration)
	}
	return longest
}

// rosterVersions returns the roster versions that the reachable peers announce.
// If the view does not contain them, every live host counts as reachable and
// as announcing none.
func (v *View) rosterVersions() request.AnnouncedVersions {
	if v.PeerRosterVersions != nil {
		return v.PeerRosterVersions
	}
	versions := request.AnnouncedVersions{}
	for _, c := range v.LiveHosts {
		versions[c.ID] = 0
	}
	return versions
}
