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

// running is an attempt whose slot is taken.
type running struct {
	request   pimentospread.RequestID
	service   pimentospread.ServiceID
	target    pimentospread.TargetID
	address   netip.AddrPort
	started   time.Time
	heard     time.Time
	deadline  time.Time
	withdrawn bool
	// result is what the slot's release reports for a withdrawn attempt.
	result pimentospread.Result
}

// enqueue hands a request to the admission and sends what has a slot.
func (r *RequestDispatcher) enqueue(now time.Time, e *request.Entry, actions *RequestActions) {
	e.Stage = request.Waiting
	q := e.Request
	refusals := r.deps.Admission.Offer(now, pimentospread.Work{
		Request: q.ID, Caller: q.ID.Caller, Service: q.Service, Class: q.Class,
		Arrived: e.Arrived, Deadline: startBefore(now, e),
	})
	for _, refusal := range refusals {
		r.refused(now, refusal, actions)
	}
	r.dispatch(now, q.Service, actions)
	if q.Idempotent && e.Stage == request.Waiting {
		actions.Replies = append(actions.Replies, e.Acknowledge()...)
	}
}

// startBefore returns the time by which a waiting request must have started. A
// caller may send an idempotent request again to another host, which knows
// nothing of this one and would run it a second time. Half of the time that is
// left lets the wait end before the caller of an acknowledged request does so.
// A retry of what a target refused late may use all the time.
func startBefore(now time.Time, e *request.Entry) time.Time {
	half := e.Arrived.Add(e.Request.Deadline.Sub(e.Arrived) / 2)
	if !e.Request.Idempotent || now.After(half) {
		return e.Request.Deadline
	}
	return half
}

// refused ends a request that the admission does not run.
func (r *RequestDispatcher) refused(now time.Time, refusal pimentospread.Refusal, actions *RequestActions) {
	e := r.ledger.Find(refusal.Work.Request)
	if e == nil || e.Stage != request.Waiting {
		return
	}
	r.statsOf(e).Shed++
	r.finish(now, e, e.UnsentOutcome(), refusal.Reason, actions)
}

// dispatchAll sends what has a slot at any service, in the order of their identifiers.
func (r *RequestDispatcher) dispatchAll(now time.Time, actions *RequestActions) {
	if r.view == nil {
		return
	}
	ids := r.order[:0]
	for id := range r.view.Services {
		if r.deps.Admission.Waiting(id) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.dispatch(now, id, actions)
	}
	r.order = ids
}

// dispatch sends the service's waiting requests while targets have slots.
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
		r.send(now, e, r.prefer(now, e, target), actions)
	}
}

// next takes the next request of the service that may still be sent.
func (r *RequestDispatcher) next(now time.Time, service pimentospread.ServiceID, actions *RequestActions) *request.Entry {
	for {
		work, waits := r.deps.Admission.Next(now, service)
		if !waits {
			return nil
		}
		e := r.ledger.Find(work.Request)
		if e == nil || e.Stage != request.Waiting {
			continue
		}
		if now.Before(e.Request.Deadline) {
			return e
		}
		r.expire(now, e, actions)
	}
}

// prefer exchanges the slot for one at a target that the request has not
// tried, when there is one.
func (r *RequestDispatcher) prefer(now time.Time, e *request.Entry, target pimentospread.TargetID) pimentospread.TargetID {
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

// send starts an attempt at the target, whose slot is taken.
func (r *RequestDispatcher) send(now time.Time, e *request.Entry, target pimentospread.TargetID, actions *RequestActions) {
	q, service := e.Request, r.service(e.Request.Service)
	at, exists := service.target(target)
	if !exists {
		r.deps.Placement.Finish(now, target, pimentospread.ResultCancelled, 0)
		r.finish(now, e, e.UnsentOutcome(), "target does not exist", actions)
		return
	}
	id := r.attemptID()
	r.attempts[id] = &running{
		request: q.ID, service: q.Service, target: target, address: at.RequestAddress,
		started: now, heard: now, deadline: q.Deadline,
	}
	if len(e.TriedTargets) == 0 {
		r.deps.Placement.Started(now, q.Service)
	}
	e.Stage, e.Attempt = request.Running, id
	e.Answer = request.NewAssembly(binary.BigEndian.AppendUint64(nil, r.deps.Random.Uint64()))
	e.TriedTargets, e.SentAttempts = append(e.TriedTargets, target), append(e.SentAttempts, id)
	actions.Attempts = append(actions.Attempts, request.Attempt{
		ID: id, Request: q.ID, Service: service.Service.Name, Target: target, Address: at.RequestAddress,
		Class: q.Class, Deadline: q.Deadline, Idempotent: q.Idempotent, Path: q.Path, Payload: q.Payload,
	})
	if q.Idempotent {
		r.ledger.Schedule(q.ID, attemptTimeout(now, q.Deadline))
	}
}

// attemptTimeout is the time at which an idempotent attempt that is silent
// since the given time counts as lost: half of what is left, so that a retry
// has as long as the first attempt had.
func attemptTimeout(heard, deadline time.Time) time.Time {
	return heard.Add(deadline.Sub(heard) / 2)
}

// attemptID returns an identifier that no running attempt has.
func (r *RequestDispatcher) attemptID() pimentospread.AttemptID {
	for {
		id := pimentospread.AttemptID(r.deps.Random.Uint64())
		if _, taken := r.attempts[id]; id != 0 && !taken {
			return id
		}
	}
}

// checkAttempt withdraws an idempotent attempt that has been silent for too
// long, and retries the request when the budget allows it.
func (r *RequestDispatcher) checkAttempt(now time.Time, e *request.Entry, actions *RequestActions) {
	a := r.attempts[e.Attempt]
	if a == nil || !e.Request.Idempotent {
		return
	}
	due := attemptTimeout(a.heard, e.Request.Deadline)
	if now.Before(due) {
		r.ledger.Schedule(e.Request.ID, due)
		return
	}
	if !r.deps.Placement.AllowRetry(now, e.Request.Service) {
		return
	}
	r.withdraw(e, pimentospread.ResultTimeout, actions)
	r.statsOf(e).Retried++
	r.enqueue(now, e, actions)
}

// withdraw cancels the running attempt. Its slot stays taken until the target
// confirms or the deadline passes.
func (r *RequestDispatcher) withdraw(e *request.Entry, result pimentospread.Result, actions *RequestActions) {
	a := r.attempts[e.Attempt]
	if a == nil || a.withdrawn {
		return
	}
	a.withdrawn, a.result = true, result
	actions.Cancellations = append(actions.Cancellations, request.Cancel{Attempt: e.Attempt, Address: a.address})
	e.Attempt = 0
}

// release gives the slot of an attempt back.
func (r *RequestDispatcher) release(now time.Time, id pimentospread.AttemptID, result pimentospread.Result) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	delete(r.attempts, id)
	took := now.Sub(a.started)
	r.deps.Placement.Finish(now, a.target, result, took)
	r.deps.Admission.Ended(now, a.service, took)
}

// releaseExpired gives back what slots the request still has when its deadline passes.
func (r *RequestDispatcher) releaseExpired(now time.Time, e *request.Entry) {
	for _, id := range e.SentAttempts {
		if a := r.attempts[id]; a != nil {
			r.release(now, id, a.result)
		}
	}
}

func (s *ServiceView) target(id pimentospread.TargetID) (target pool.Target, exists bool) {
	if s == nil {
		return target, false
	}
	return s.Pool.ByID(id)
}
