package dataplane

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/pool"
	"pimentospread/request"
)

// runningAttempt is an attempt that occupies a slot of its target.
type runningAttempt struct {
	request    pimentospread.RequestID
	service    pimentospread.ServiceID
	target     pimentospread.TargetID
	address    netip.AddrPort
	started    time.Time
	lastAnswer time.Time
	deadline   time.Time
	withdrawn  bool
	// result is the result of a withdrawn attempt that is reported when its slot is released.
	result pimentospread.Result
}

// enqueue offers a request to the admission and dispatches the service's waiting requests.
func (r *RequestDispatcher) enqueue(now time.Time, e *request.Entry, actions *RequestActions) {
	e.Stage = request.Waiting
	q := e.Request
	refusals := r.deps.Admission.Offer(now, pimentospread.Work{
		Request: q.ID, Caller: q.ID.Caller, Service: q.Service, Class: q.Class,
		Arrived: e.Arrived, Deadline: startDeadline(now, e),
	})
	for _, refusal := range refusals {
		r.finishRefused(now, refusal, actions)
	}
	r.dispatch(now, q.Service, actions)
	if q.Idempotent && e.Stage == request.Waiting {
		actions.Replies = append(actions.Replies, e.Acknowledge()...)
	}
}

// startDeadline returns the time by which a waiting request must have started.
// A caller may send an idempotent request again to another host, which has no
// record of it and would run it a second time. Waiting for at most half of the
// request's lifetime ends the wait before the caller of an acknowledged request
// sends it again. A retry after a late refusal by a target may use all the
// remaining time.
func startDeadline(now time.Time, e *request.Entry) time.Time {
	half := e.Arrived.Add(e.Request.Deadline.Sub(e.Arrived) / 2)
	if !e.Request.Idempotent || now.After(half) {
		return e.Request.Deadline
	}
	return half
}

// finishRefused ends a waiting request that the admission refuses.
func (r *RequestDispatcher) finishRefused(now time.Time, refusal pimentospread.Refusal, actions *RequestActions) {
	e := r.requestTable.Find(refusal.Work.Request)
	if e == nil || e.Stage != request.Waiting {
		return
	}
	r.statsFor(e).Shed++
	r.finish(now, e, e.UnsentOutcome(), refusal.Reason, actions)
}

// dispatchAll dispatches the waiting requests of all services, in the order of the service IDs.
func (r *RequestDispatcher) dispatchAll(now time.Time, actions *RequestActions) {
	if r.view == nil {
		return
	}
	ids := r.serviceOrder[:0]
	for id := range r.view.Services {
		if r.deps.Admission.Waiting(id) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.dispatch(now, id, actions)
	}
	r.serviceOrder = ids
}

// dispatch sends the service's waiting requests while targets have free slots.
func (r *RequestDispatcher) dispatch(now time.Time, service pimentospread.ServiceID, actions *RequestActions) {
	for r.deps.Admission.Waiting(service) > 0 {
		target, free := r.deps.Placement.Pick(now, service, nil)
		if !free {
			return
		}
		e := r.next(now, service, actions)
		if e == nil {
			r.deps.Placement.Finish(now, target, pimentospread.ResultCancelled, 0)
			return
		}
		r.send(now, e, r.avoidTried(now, e, target), actions)
	}
}

// next returns the service's next waiting request whose deadline has not
// passed, or nil. It expires those whose deadline has passed.
func (r *RequestDispatcher) next(now time.Time, service pimentospread.ServiceID, actions *RequestActions) *request.Entry {
	for {
		work, waits := r.deps.Admission.Next(now, service)
		if !waits {
			return nil
		}
		e := r.requestTable.Find(work.Request)
		if e == nil || e.Stage != request.Waiting {
			continue
		}
		if now.Before(e.Request.Deadline) {
			return e
		}
		r.expire(now, e, actions)
	}
}

// avoidTried exchanges the slot for one at a target that the request has not
// tried, if there is a free one.
func (r *RequestDispatcher) avoidTried(now time.Time, e *request.Entry, target pimentospread.TargetID) pimentospread.TargetID {
	if !slices.Contains(e.TriedTargets, target) {
		return target
	}
	other, free := r.deps.Placement.Pick(now, e.Request.Service, e.TriedTargets)
	if !free {
		return target
	}
	r.deps.Placement.Finish(now, target, pimentospread.ResultCancelled, 0)
	return other
}

// send starts an attempt at the target, of which a slot is already taken.
func (r *RequestDispatcher) send(now time.Time, e *request.Entry, target pimentospread.TargetID, actions *RequestActions) {
	q, service := e.Request, r.service(e.Request.Service)
	poolTarget, exists := service.target(target)
	if !exists {
		r.deps.Placement.Finish(now, target, pimentospread.ResultCancelled, 0)
		r.finish(now, e, e.UnsentOutcome(), "target does not exist", actions)
		return
	}
	id := r.attemptID()
	r.attempts[id] = &runningAttempt{
		request: q.ID, service: q.Service, target: target, address: poolTarget.RequestAddress,
		started: now, lastAnswer: now, deadline: q.Deadline,
	}
	if len(e.TriedTargets) == 0 {
		r.deps.Placement.Started(now, q.Service)
	}
	e.Stage, e.Attempt = request.Running, id
	e.Answer = request.NewAssembly(binary.BigEndian.AppendUint64(nil, r.deps.Random.Uint64()))
	e.TriedTargets, e.SentAttempts = append(e.TriedTargets, target), append(e.SentAttempts, id)
	actions.Attempts = append(actions.Attempts, request.Attempt{
		ID: id, Request: q.ID, Service: service.Service.Name, Target: target, Address: poolTarget.RequestAddress,
		Class: q.Class, Deadline: q.Deadline, Idempotent: q.Idempotent, Path: q.Path, Payload: q.Payload,
	})
	if q.Idempotent {
		r.requestTable.Schedule(q.ID, attemptTimeout(now, q.Deadline))
	}
}

// attemptTimeout returns the time at which an idempotent attempt counts as lost
// if its target has sent nothing since the given time. It uses half of the
// remaining time, so that a retry has as much time as the first attempt had.
func attemptTimeout(heard, deadline time.Time) time.Time {
	return heard.Add(deadline.Sub(heard) / 2)
}

// attemptID returns an ID that no running attempt has.
func (r *RequestDispatcher) attemptID() pimentospread.AttemptID {
	for {
		id := pimentospread.AttemptID(r.deps.Random.Uint64())
		if _, taken := r.attempts[id]; id != 0 && !taken {
			return id
		}
	}
}

// retrySilentAttempt withdraws an idempotent attempt whose target has sent nothing for
// too long and retries the request. Without a retry in the budget the attempt goes on.
// Before that time it only schedules the next check.
func (r *RequestDispatcher) retrySilentAttempt(now time.Time, e *request.Entry, actions *RequestActions) {
	a := r.attempts[e.Attempt]
	if a == nil || !e.Request.Idempotent {
		return
	}
	due := attemptTimeout(a.lastAnswer, e.Request.Deadline)
	if now.Before(due) {
		r.requestTable.Schedule(e.Request.ID, due)
		return
	}
	if !r.deps.Placement.AllowRetry(now, e.Request.Service) {
		return
	}
	r.withdraw(e, pimentospread.ResultTimeout, actions)
	r.statsFor(e).Retried++
	r.enqueue(now, e, actions)
}

// withdraw cancels the running attempt. Its slot stays taken until the target
// confirms the cancellation or the deadline passes.
func (r *RequestDispatcher) withdraw(e *request.Entry, result pimentospread.Result, actions *RequestActions) {
	a := r.attempts[e.Attempt]
	if a == nil || a.withdrawn {
		return
	}
	a.withdrawn, a.result = true, result
	actions.Cancellations = append(actions.Cancellations, request.Cancel{Attempt: e.Attempt, Address: a.address})
	e.Attempt = 0
}

// releaseSlot releases the slot of an attempt and reports its result.
func (r *RequestDispatcher) releaseSlot(now time.Time, id pimentospread.AttemptID, result pimentospread.Result) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	delete(r.attempts, id)
	took := now.Sub(a.started)
	r.deps.Placement.Finish(now, a.target, result, took)
	r.deps.Admission.Ended(now, a.service, took)
}

// releaseSlots releases the slots that the request's attempts still occupy.
func (r *RequestDispatcher) releaseSlots(now time.Time, e *request.Entry) {
	for _, id := range e.SentAttempts {
		if a := r.attempts[id]; a != nil {
			r.releaseSlot(now, id, a.result)
		}
	}
}

func (s *ServiceView) target(id pimentospread.TargetID) (target pool.Target, exists bool) {
	if s == nil {
		return target, false
	}
	return s.Pool.ByID(id)
}
