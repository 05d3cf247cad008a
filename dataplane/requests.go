package dataplane

import (
	"math/rand/v2"
	"time"

	"pimentospread"
	"pimentospread/request"
)

// Causes for which the requests decider drops what it gets.
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

// RequestDispatcherDeps is what the requests decider needs.
type RequestDispatcherDeps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Admission   pimentospread.Admission
	Placement   pimentospread.Placement
	// Random gives attempt identifiers and answer tags, which a sender that does not see them must not guess.
	Random *rand.Rand
	// Started is the time at which this incarnation started.
	Started time.Time
}

// RequestDispatcher takes the decisions on single requests. It belongs to one duty and
// is not safe for concurrent use.
type RequestDispatcher struct {
	deps     RequestDispatcherDeps
	view     *View
	ledger   *request.Table
	attempts map[pimentospread.AttemptID]*running
	stats    statistics
	elector  *request.Elector
	// runs is the newest incarnation heard of each peer.
	runs map[pimentospread.HostID]pimentospread.Incarnation
	// kept is the size of the finished answers in the ledger.
	kept pimentospread.Bytes
	// seen is the time of the last event, and swept that of the last work of each second.
	seen, swept time.Time
	// order is reused by dispatchAll.
	order []pimentospread.ServiceID
}

// NewRequestDispatcher returns a decider without a view; it takes requests after Configure.
func NewRequestDispatcher(deps RequestDispatcherDeps) *RequestDispatcher {
	return &RequestDispatcher{
		deps:     deps,
		ledger:   request.NewTable(),
		attempts: map[pimentospread.AttemptID]*running{},
		elector:  request.NewElector(deps.Self, deps.Started),
		runs:     map[pimentospread.HostID]pimentospread.Incarnation{},
		stats:    statistics{},
	}
}

// Configure takes a new view of the cell.
func (r *RequestDispatcher) Configure(now time.Time, view *View, actions *RequestActions) {
	r.notice(now)
	r.view = view
	r.elector.Configure(now, view.Roster, view.PreviousRoster, view.heard(), view.maxLifetime())
	r.dispatchAll(now, actions)
}

// HandleRequest takes one transmission of a request from a caller.
func (r *RequestDispatcher) HandleRequest(now time.Time, q request.Request, actions *RequestActions) {
	r.notice(now)
	known := r.ledger.Find(q.ID)
	switch {
	case q.Cancelled:
		r.cancel(now, known, actions)
	case known != nil:
		r.repeat(known, q.Origin, actions)
	default:
		r.accept(now, q, actions)
	}
}

// repeat answers a further transmission of a known request with what is known by now.
func (r *RequestDispatcher) repeat(e *request.Entry, origin request.Origin, actions *RequestActions) {
	e.AddOrigin(origin)
	if e.Stage == request.Delegated {
		r.inquire(e, e.Owner, actions)
		return
	}
	actions.Replies = append(actions.Replies, e.Replies(origin)...)
}

// accept starts the work on a new request.
func (r *RequestDispatcher) accept(now time.Time, q request.Request, actions *RequestActions) {
	service := r.service(q.Service)
	if service == nil {
		actions.Drops = append(actions.Drops, DropRequestService)
		return
	}
	key := statKey{q.Service, q.Class}
	if reason := service.refuse(now, q); reason != "" {
		r.stats.of(key).Malformed++
		actions.Replies = append(actions.Replies, request.Reply{Origin: q.Origin, Outcome: request.Malformed, Reason: reason})
		return
	}
	if !now.Before(q.Deadline) {
		// Another host may have run the request before its deadline.
		r.stats.of(key).Expired++
		actions.Replies = append(actions.Replies, request.Reply{Origin: q.Origin, Outcome: request.Unknown, Reason: "deadline has passed"})
		return
	}
	r.stats.of(key).Arrived++
	e := request.NewEntry(now, q)
	r.ledger.Add(e)
	if q.Idempotent {
		r.enqueue(now, e, actions)
		return
	}
	r.claim(now, e, actions)
}

// refuse returns why the request is malformed for the service, or an empty string.
func (s *ServiceView) refuse(now time.Time, q request.Request) string {
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

// HandleLoadReport takes what a target says of itself.
func (r *RequestDispatcher) HandleLoadReport(now time.Time, report pimentospread.LoadReport) {
	r.deps.Placement.Report(now, report)
}

// pausedAfter is the time without any event after which the host counts as
// paused. Tick is called far more often.
const pausedAfter = 2 * time.Second

// notice sees whether the host was paused before this event.
func (r *RequestDispatcher) notice(now time.Time) {
	if !r.seen.IsZero() && now.Sub(r.seen) >= pausedAfter {
		r.elector.Resume(now)
	}
	r.seen = now
}

// Tick does what has become due. It is called at least twice a second.
func (r *RequestDispatcher) Tick(now time.Time, actions *RequestActions) {
	r.notice(now)
	if now.Sub(r.swept) >= time.Second {
		r.elector.Expire(now)
		for _, h := range r.elector.PeersToQuery() {
			r.tell(h, &request.RostersQuery{}, actions)
		}
		r.swept = now
	}
	for {
		e, due := r.ledger.PopDue(now)
		if !due {
			break
		}
		r.wake(now, e, actions)
	}
	for _, refusal := range r.deps.Admission.Expire(now) {
		r.refused(now, refusal, actions)
	}
	r.dispatchAll(now, actions)
}

// wake looks at a request that is due.
func (r *RequestDispatcher) wake(now time.Time, e *request.Entry, actions *RequestActions) {
	switch {
	case !now.Before(e.Request.Deadline.Add(request.Retention)):
		r.forget(e)
	case !now.Before(e.Request.Deadline):
		r.expire(now, e, actions)
	case e.Stage == request.Running:
		r.checkAttempt(now, e, actions)
	case e.Stage == request.Claiming:
		r.pursue(now, e, actions)
	}
}

func (r *RequestDispatcher) forget(e *request.Entry) {
	if e.Stage == request.Finished {
		r.kept -= e.Answer.Size()
	}
	r.ledger.Remove(e.Request.ID)
}

// Leave says that the host shuts down. What has arrived is still finished and
// grants are still made; readiness keeps new work away, not this decider.
func (r *RequestDispatcher) Leave(now time.Time, actions *RequestActions) {
	r.notice(now)
	r.dispatchAll(now, actions)
}

// Close ends what is left when the time for leaving is over: requests that
// were never sent are refused, and the outcome of the others is unknown.
func (r *RequestDispatcher) Close(now time.Time, actions *RequestActions) {
	for _, e := range r.ledger.Unfinished() {
		const reason = "host shuts down"
		switch e.Stage {
		case request.Claiming:
			r.giveUp(now, e, actions)
			r.finish(now, e, request.Unknown, reason, actions)
		case request.Waiting:
			r.deps.Admission.Remove(e.Request.ID)
			r.finish(now, e, e.UnsentOutcome(), reason, actions)
		default:
			r.finish(now, e, request.Unknown, reason, actions)
		}
	}
}

// Idle says that no request is in progress, so that a leaving host may stop.
func (r *RequestDispatcher) Idle() bool {
	return len(r.ledger.Unfinished()) == 0 && len(r.attempts) == 0
}

func (r *RequestDispatcher) service(id pimentospread.ServiceID) *ServiceView {
	if r.view == nil {
		return nil
	}
	return r.view.Services[id]
}

// maxLifetime returns the longest lifetime that a policy in force allows.
func (v *View) maxLifetime() time.Duration {
	var longest time.Duration
	for _, s := range v.Services {
		longest = max(longest, s.Policy.MaxLifetime.Duration)
	}
	return longest
}

// heard returns the roster versions that the heard peers announce. When the
// control duty does not tell them, live hosts count as heard and announce none.
func (v *View) heard() request.AnnouncedVersions {
	if v.PeerRosterVersions != nil {
		return v.PeerRosterVersions
	}
	held := request.AnnouncedVersions{}
	for _, c := range v.LiveHosts {
		held[c.ID] = 0
	}
	return held
}
