package decide

import (
	"math/rand/v2"
	"time"

	"pimentospread"
	"pimentospread/request"
)

// Causes for which the requests decider drops what it gets.
const (
	DropUnknownService DropCause = "request_unknown_service"
	DropUnknownCancel  DropCause = "request_unknown_cancel"
	DropUnknownAttempt DropCause = "answer_unknown_attempt"
	DropWrongTarget    DropCause = "answer_wrong_target"
	DropDuplicatePart  DropCause = "answer_duplicate_part"
	DropContradiction  DropCause = "answer_contradiction"
	DropUnknownMessage DropCause = "peer_unknown_message"
)

// RequestsDeps is what the requests decider needs.
type RequestsDeps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Admission   pimentospread.Admission
	Placement   pimentospread.Placement
	// Random gives attempt identifiers and answer tags, which a sender that does not see them must not guess.
	Random *rand.Rand
	// Started is the time at which this incarnation started.
	Started time.Time
}

// Requests takes the decisions on single requests. It belongs to one duty and
// is not safe for concurrent use.
type Requests struct {
	deps     RequestsDeps
	view     *View
	ledger   *request.Ledger
	attempts map[pimentospread.AttemptID]*running
	stats    statistics
	leaving  bool
	// order is reused by dispatchAll.
	order []pimentospread.ServiceID
}

// NewRequests returns a decider without a view; it takes requests after Configure.
func NewRequests(deps RequestsDeps) *Requests {
	return &Requests{
		deps:     deps,
		ledger:   request.NewLedger(),
		attempts: map[pimentospread.AttemptID]*running{},
		stats:    statistics{},
	}
}

// Configure takes a new view of the cell.
func (r *Requests) Configure(now time.Time, view *View, actions *RequestActions) {
	r.view = view
	r.dispatchAll(now, actions)
}

// Arrive takes one transmission of a request from a caller.
func (r *Requests) Arrive(now time.Time, q request.Request, actions *RequestActions) {
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
func (r *Requests) repeat(e *request.Entry, origin request.Origin, actions *RequestActions) {
	e.AddOrigin(origin)
	actions.Replies = append(actions.Replies, e.Replies(origin)...)
}

// accept starts the work on a new request.
func (r *Requests) accept(now time.Time, q request.Request, actions *RequestActions) {
	service := r.service(q.Service)
	if service == nil {
		actions.Drops = append(actions.Drops, DropUnknownService)
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
	r.finish(now, e, request.Unknown, "claims are not available", actions)
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

// Report takes what a target says of itself.
func (r *Requests) Report(now time.Time, report pimentospread.LoadReport) {
	r.deps.Placement.Report(now, report)
}

// Peer takes a message from another host.
func (r *Requests) Peer(_ time.Time, _ pimentospread.Inbound, actions *RequestActions) {
	actions.Drops = append(actions.Drops, DropUnknownMessage)
}

// Tick does what has become due.
func (r *Requests) Tick(now time.Time, actions *RequestActions) {
	for {
		e, due := r.ledger.Due(now)
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
func (r *Requests) wake(now time.Time, e *request.Entry, actions *RequestActions) {
	switch {
	case !now.Before(e.Request.Deadline.Add(request.Retention)):
		r.ledger.Forget(e.Request.ID)
	case !now.Before(e.Request.Deadline):
		r.expire(now, e, actions)
	case e.Stage == request.Running:
		r.checkAttempt(now, e, actions)
	}
}

// Leave says that the host shuts down. What has arrived is still finished;
// what the host no longer takes is decided by its readiness, not here.
func (r *Requests) Leave(now time.Time, actions *RequestActions) {
	r.leaving = true
	r.dispatchAll(now, actions)
}

// Idle says that no request is in progress, so that a leaving host may stop.
func (r *Requests) Idle() bool { return r.ledger.Open() == 0 && len(r.attempts) == 0 }

func (r *Requests) service(id pimentospread.ServiceID) *ServiceView {
	if r.view == nil {
		return nil
	}
	return r.view.Services[id]
}
