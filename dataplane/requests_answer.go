package dataplane

import (
	"time"

	"pimentospread"
	"pimentospread/request"
)

// HandleAnswer handles one message of a target about an attempt.
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
	e := r.requestTable.Find(a.request)
	if a.withdrawn || e == nil || e.Attempt != answer.Attempt {
		r.handleWithdrawnAnswer(now, answer, a, actions)
		return
	}
	switch answer.Kind {
	case request.Done:
		r.handleAnswerPart(now, e, answer, actions)
	case request.Shed:
		r.handleShedAnswer(now, e, answer, actions)
	default:
		e.Error, e.Answer = answer.Part, request.Assembly{}
		result := pimentospread.ResultFailed
		if answer.Kind == request.Rejected {
			// Callers that send invalid requests must not lower the limit of a healthy target.
			result = pimentospread.ResultDone
		}
		r.releaseSlot(now, answer.Attempt, result)
		r.finish(now, e, request.TargetFailed, "target reports an error", actions)
	}
	r.dispatch(now, a.service, actions)
}

// handleWithdrawnAnswer releases the slot once the target has finished a withdrawn attempt.
func (r *RequestDispatcher) handleWithdrawnAnswer(now time.Time, answer request.Answer, a *runningAttempt, actions *RequestActions) {
	if answer.Kind == request.Done && answer.Part.More {
		return
	}
	r.releaseSlot(now, answer.Attempt, a.result)
	r.dispatch(now, a.service, actions)
}

// handleAnswerPart forwards a part of an answer to the caller, under the tag of the attempt.
func (r *RequestDispatcher) handleAnswerPart(now time.Time, e *request.Entry, answer request.Answer, actions *RequestActions) {
	r.attempts[answer.Attempt].lastAnswer = now
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
	r.releaseSlot(now, answer.Attempt, pimentospread.ResultDone)
	r.recordOutcome(now, e, request.Answered, "")
	actions.Completed = append(actions.Completed, newCompletedRequest(e, now.Before(e.Request.Deadline)))
}

// handleShedAnswer retries the request at another target if the deadline and
// the retry budget allow it. A target that shed a request has not run it.
func (r *RequestDispatcher) handleShedAnswer(now time.Time, e *request.Entry, answer request.Answer, actions *RequestActions) {
	if !e.Answer.Empty() {
		actions.Drops = append(actions.Drops, DropContradiction)
		return
	}
	r.releaseSlot(now, answer.Attempt, pimentospread.ResultShed)
	e.Attempt = 0
	if now.Before(e.Request.Deadline) && r.deps.Placement.AllowRetry(now, e.Request.Service) {
		r.statsFor(e).Retried++
		r.enqueue(now, e, actions)
		return
	}
	r.statsFor(e).Shed++
	r.finish(now, e, e.UnsentOutcome(), "target refused before it started", actions)
}

// finish ends a request with an outcome other than an answer and replies to the caller.
func (r *RequestDispatcher) finish(now time.Time, e *request.Entry, outcome request.Outcome, reason string, actions *RequestActions) {
	r.recordOutcome(now, e, outcome, reason)
	actions.Completed = append(actions.Completed, newCompletedRequest(e, false))
	for _, o := range e.Origins {
		actions.Replies = append(actions.Replies, request.Reply{Origin: o, Outcome: outcome, Part: e.Error, Reason: reason})
	}
}

func newCompletedRequest(e *request.Entry, inTime bool) CompletedRequest {
	return CompletedRequest{Service: e.Request.Service, Class: e.Request.Class, Caller: e.Request.ID.Caller, InTime: inTime}
}

// recordOutcome marks a request as finished and counts its outcome.
func (r *RequestDispatcher) recordOutcome(now time.Time, e *request.Entry, outcome request.Outcome, reason string) {
	e.Stage, e.Outcome, e.Reason, e.Attempt = request.Finished, outcome, reason, 0
	r.statsFor(e).countOutcome(now, e)
	r.keepAnswer(e)
}

// maxKeptAnswers bounds the size of the finished answers that are kept for
// repeated requests. It leaves most of a host's 256 MB of control memory to
// other uses.
const maxKeptAnswers pimentospread.Bytes = 64 << 20

// keepAnswer accounts for the answer of a finished request. If the limit is
// reached, it discards the answer. An idempotent request is then removed from the
// table, so that a repetition runs it again.
func (r *RequestDispatcher) keepAnswer(e *request.Entry) {
	size := e.Answer.Size()
	if r.keptAnswerBytes+size <= maxKeptAnswers {
		r.keptAnswerBytes += size
		return
	}
	e.Answer = request.Assembly{}
	if e.Request.Idempotent {
		r.requestTable.Remove(e.Request.ID)
		return
	}
	e.Outcome, e.Reason = request.Unknown, "answer is no longer kept"
}

// expire ends a request whose deadline has passed, and releases its slots.
func (r *RequestDispatcher) expire(now time.Time, e *request.Entry, actions *RequestActions) {
	switch e.Stage {
	case request.Claiming:
		r.abandonRound(now, e, actions)
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
	r.releaseSlots(now, e)
}

// cancel withdraws a request that its caller has cancelled. The caller gets no reply.
func (r *RequestDispatcher) cancel(now time.Time, e *request.Entry, actions *RequestActions) {
	if e == nil {
		actions.Drops = append(actions.Drops, DropUnknownCancel)
		return
	}
	e.Request.Cancelled = true
	switch e.Stage {
	case request.Claiming:
		for _, holder := range r.abandonRound(now, e, actions) {
			r.sendInquiries(e, holder, actions)
		}
		r.recordOutcome(now, e, request.Unknown, "cancelled by the caller")
	case request.Delegated:
		r.sendInquiries(e, e.Owner, actions)
	case request.Waiting:
		r.deps.Admission.Remove(e.Request.ID)
		r.recordOutcome(now, e, e.UnsentOutcome(), "cancelled by the caller")
	case request.Running:
		r.withdraw(e, pimentospread.ResultCancelled, actions)
		r.recordOutcome(now, e, request.Unknown, "cancelled by the caller")
	}
}
