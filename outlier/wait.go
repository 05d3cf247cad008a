package outlier

import (
	"slices"
	"time"

	"pimentospread"
)

const (
	// maxWaits limits the waiting callers that are kept for one target.
	maxWaits = 16
	// maxRetransmissionInterval is the longest time between two copies of a packet.
	maxRetransmissionInterval = 1600 * time.Millisecond
	// retransmissionMargin is how late a copy may arrive that the caller sends on time.
	retransmissionMargin = 200 * time.Millisecond
	// givenUpLifetime is how long a request that was given up shows that its target is silent,
	// from the last time at which it did. The registration of a target that has crashed
	// expires sooner.
	givenUpLifetime = 4 * time.Second
)

// wait is a caller of an open flow that has retransmitted data and waits for the answer. SYNs
// do not count: a target that is full leaves them unanswered and still serves its flows.
type wait struct {
	flow pimentospread.FlowID
	// since is when the oldest copy was sent that the target has not answered.
	since time.Time
	// until is when the caller has sent the next copy, unless it has got its answer.
	until time.Time
	// retransmissions counts the copies after since.
	retransmissions int
}

// RecordUnanswered records that a caller sent a request again on an open flow. The request
// counts as unanswered until the target answers a caller, or until the next copy is due.
func (d *Detector) RecordUnanswered(now time.Time, r UnansweredRequest) {
	target := d.Target(r.Target)
	if target.answered.After(r.LastSentAt) {
		return
	}
	target.expireWaits(now)
	i := slices.IndexFunc(target.waits, func(w wait) bool { return w.flow == r.Flow })
	if i < 0 {
		if len(target.waits) == maxWaits {
			return
		}
		since := r.FirstSentAt
		if target.answered.After(since) {
			since = r.LastSentAt
		}
		target.waits = append(target.waits, wait{flow: r.Flow, since: since})
		i = len(target.waits) - 1
	}
	interval := min(2*now.Sub(r.LastSentAt), maxRetransmissionInterval)
	target.waits[i].retransmissions++
	target.waits[i].until = now.Add(interval + retransmissionMargin)
}

// expireWaits drops the callers that have not sent the next copy.
func (t *Target) expireWaits(now time.Time) {
	t.waits = slices.DeleteFunc(t.waits, func(w wait) bool { return now.After(w.until) })
}

// recordAnswer records an answer to any caller at the given time or later, and drops the
// callers that waited before.
func (t *Target) recordAnswer(at time.Time) {
	if at.After(t.answered) {
		t.answered = at
	}
	t.waits = slices.DeleteFunc(t.waits, func(w wait) bool { return at.After(w.since) })
}
