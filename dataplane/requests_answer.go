package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/request"
)

// HandleAnswer takes one message of a target about an attempt.
func (r *RequestDispatcher) HandleAnswer(now time.Time, answer request.Answer, actions *RequestActions) {
	a := r.attempts[answer.Attempt]
	if a == nil {
		actions.Drops = append(actions.Drops, DropUnknownAttempt)
		return
	}
	if a.address != answer.From {
		actions.Drops = append(actions.Drops, DropWrongTarget)
		return
	}
	e := r.ledger.Find(a.request)
	if a.withdrawn || e == nil || e.Attempt != answer.Attempt {
		r.answerWithdrawn(now, answer, a, actions)
		return
	}
	switch answer.Kind {
	case request.Done:
		r.answerPart(now, e, answer, actions)
	case request.Shed:
		r.answerShed(now, e, answer, actions)
	default:
		e.Error, e.Answer = answer.Part, request.Assembly{}
		result := pimentospread.ResultFailed
		if answer.Kind == request.Rejected {
			// Callers with wrong requests must not lower the limit of a sound target.
			result = pimentospread.ResultDone
		}
		r.release(now, answer.Attempt, result)
		r.finish(now, e, request.TargetFailed, "target reports an error", actions)
	}
	r.dispatch(now, a.service, actions)
}

// answerWithdrawn frees the slot when the target is done with a withdrawn attempt.
func (r *RequestDispatcher) answerWithdrawn(now time.Time, answer request.Answer, a *running, actions *RequestActions) {
	if answer.Kind == request.Done && answer.Part.More {
		return
	}
	r.release(now, answer.Attempt, a.result)
	r.dispatch(now, a.service, actions)
}

// answerPart passes a part on to the caller under the tag of the attempt.
func (r *RequestDispatcher) answerPart(now time.Time, e *request.Entry, answer request.Answer, actions *RequestActions) {
	r.attempts[answer.Attempt].heard = now
	part, added := e.Answer.Add(answer.Part)
	if !added {
		actions.Drops = append(actions.Drops, DropDuplicatePart)
		return
	}
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: request.Answered, Part: part})
	}
	if !e.Answer.Complete() {
		return
	}
	r.release(now, answer.Attempt, pimentospread.ResultDone)
	r.conclude(now, e, request.Answered, "")
	actions.Completed = append(actions.Completed, endedOf(e, now.Before(e.Request.Deadline)))
}

// answerShed sends the request elsewhere: a target that shed it has not run it.
func (r *RequestDispatcher) answerShed(now time.Time, e *request.Entry, answer request.Answer, actions *RequestActions) {
	if !e.Answer.Empty() {
		actions.Drops = append(actions.Drops, DropContradiction)
		return
	}
	r.release(now, answer.Attempt, pimentospread.ResultShed)
	e.Attempt = 0
	if now.Before(e.Request.Deadline) && r.deps.Placement.AllowRetry(now, e.Request.Service) {
		r.statsOf(e).Retried++
		r.enqueue(now, e, actions)
		return
	}
	r.statsOf(e).Shed++
	r.finish(now, e, e.UnsentOutcome(), "target refused before it started", actions)
}

// finish ends a request with an outcome other than an answer and tells the caller.
func (r *RequestDispatcher) finish(now time.Time, e *request.Entry, outcome request.Outcome, reason string, actions *RequestActions) {
	r.conclude(now, e, outcome, reason)
	actions.Completed = append(actions.Completed, endedOf(e, false))
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: outcome, Part: e.Error, Reason: reason})
	}
}

func endedOf(e *request.Entry, inTime bool) CompletedRequest {
	return CompletedRequest{Service: e.Request.Service, Class: e.Request.Class, Caller: e.Request.ID.Caller, InTime: inTime}
}

// conclude records the outcome of a request.
func (r *RequestDispatcher) conclude(now time.Time, e *request.Entry, outcome request.Outcome, reason string) {
	e.Stage, e.Outcome, e.Reason, e.Attempt = request.Finished, outcome, reason, 0
	r.statsOf(e).conclude(now, e)
	r.keep(e)
}

// maxKept bounds the finished answers that are kept for repetition. It leaves
// most of a host's control memory of 256 MB to the rest.
const maxKept pimentospread.Bytes = 64 << 20

// keep accounts for the answer of a finished request. Without room for it an
// idempotent request is forgotten, so that a repetition runs again.
func (r *RequestDispatcher) keep(e *request.Entry) {
	size := e.Answer.Size()
	if r.kept+size <= maxKept {
		r.kept += size
		return
	}
	e.Answer = request.Assembly{}
	if e.Request.Idempotent {
		r.ledger.Remove(e.Request.ID)
		return
	}
	e.Outcome, e.Reason = request.Unknown, "answer is no longer kept"
}

// expire ends a request whose deadline has passed, and frees its slots.
func (r *RequestDispatcher) expire(now time.Time, e *request.Entry, actions *RequestActions) {
	switch e.Stage {
	case request.Claiming:
		r.giveUp(now, e, actions)
		r.finish(now, e, request.Unknown, "no majority of electors granted the request", actions)
	case request.Delegated:
		r.expireDelegated(e, actions)
	case request.Waiting:
		r.deps.Admission.Remove(e.Request.ID)
		r.finish(now, e, e.UnsentOutcome(), "deadline passed before the request was sent", actions)
	case request.Running:
		r.withdraw(e, pimentospread.ResultTimeout, actions)
		r.finish(now, e, request.Unknown, "deadline passed without a whole answer", actions)
	}
	r.releaseExpired(now, e)
}

// cancel withdraws a request that its caller no longer wants. The caller is told nothing.
func (r *RequestDispatcher) cancel(now time.Time, e *request.Entry, actions *RequestActions) {
	if e == nil {
		actions.Drops = append(actions.Drops, DropUnknownCancel)
		return
	}
	e.Request.Cancelled = true
	switch e.Stage {
	case request.Claiming:
		for _, holder := range r.giveUp(now, e, actions) {
			r.inquire(e, holder, actions)
		}
		r.conclude(now, e, request.Unknown, "cancelled by the caller")
	case request.Delegated:
		r.inquire(e, e.Owner, actions)
	case request.Waiting:
		r.deps.Admission.Remove(e.Request.ID)
		r.conclude(now, e, e.UnsentOutcome(), "cancelled by the caller")
	case request.Running:
		r.withdraw(e, pimentospread.ResultCancelled, actions)
		r.conclude(now, e, request.Unknown, "cancelled by the caller")
	}
}
