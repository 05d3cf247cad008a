package request

import (
	"bytes"
	"time"

	"pimentospread"
)

// Retention is how long past its deadline a request is remembered, so that
// transmissions still under way find its outcome.
const Retention = 2 * time.Second

// maxOrigins bounds the transmissions of one request that are answered. A
// caller that goes on with new tokens gets its replies at the latest ones.
const maxOrigins = 4

// Stage is how far a host has come with a request.
type Stage uint8

// Stages of a request.
const (
	// Claiming requests wait for grants of their electors.
	Claiming Stage = iota
	// Delegated requests are owned by another host, which replies to the caller.
	Delegated
	// Waiting requests may be sent and wait for a slot.
	Waiting
	// Running requests were sent to a target.
	Running
	// Finished requests have their outcome.
	Finished
)

// Entry is what a host knows of one request.
type Entry struct {
	Request Request
	Arrived time.Time
	Stage   Stage
	// Origins are the transmissions that are answered.
	Origins []Origin
	// TriedTargets are the targets that did not answer well.
	TriedTargets []pimentospread.TargetID
	// Attempt is the running attempt, or zero.
	Attempt pimentospread.AttemptID
	// SentAttempts are all attempts; those withdrawn may still have their slots.
	SentAttempts []pimentospread.AttemptID
	// Answer has the parts of the current attempt, with the tag for the caller.
	Answer Assembly
	// Outcome and Reason are set in the stage Finished.
	Outcome Outcome
	Reason  string
	// Election is the claim of a non-idempotent request.
	Election *Election
	// Owner is the host that replies to a delegated request.
	Owner Owner
	// Error is the target's error for the outcome TargetFailed.
	Error Part
}

// NewEntry returns the entry for the first transmission of a request.
func NewEntry(now time.Time, r Request) *Entry {
	e := &Entry{Request: r, Arrived: now, Origins: []Origin{r.Origin}}
	if !r.Idempotent {
		e.Election = &Election{}
	}
	return e
}

// AddOrigin has the entry's replies sent to the origin as well. It reports
// false when they are sent there already.
func (e *Entry) AddOrigin(o Origin) bool {
	for i, known := range e.Origins {
		if known.Caller == o.Caller && bytes.Equal(known.Token, o.Token) {
			e.Origins[i] = o
			return false
		}
	}
	if len(e.Origins) == maxOrigins {
		e.Origins = append(e.Origins[:0], e.Origins[1:]...)
	}
	e.Origins = append(e.Origins, o)
	return true
}

// Replies returns what can be told to an origin by now: the parts that have
// arrived and, for a finished request without an answer, its outcome.
func (e *Entry) Replies(o Origin) []Reply {
	var replies []Reply
	for _, p := range e.Answer.Parts() {
		replies = append(replies, Reply{Origin: o, Outcome: Answered, Part: p})
	}
	if e.Stage == Finished && e.Outcome != Answered {
		replies = append(replies, Reply{Origin: o, Outcome: e.Outcome, Part: e.Error, Reason: e.Reason})
	}
	return replies
}

// Acknowledge returns the replies that tell the callers of confirmable
// transmissions that the answer follows. Later replies are messages of their own.
func (e *Entry) Acknowledge() []Reply {
	var replies []Reply
	for i := range e.Origins {
		o := &e.Origins[i]
		if !o.Confirmable {
			continue
		}
		replies = append(replies, Reply{Origin: *o, Outcome: Accepted})
		o.Confirmable = false
	}
	return replies
}

// UnsentOutcome is the outcome when the host gives up and every attempt, if any, was
// refused before it started. Only the owner of a non-idempotent request may say
// that it was not run; an idempotent one may run at another host.
func (e *Entry) UnsentOutcome() Outcome {
	if e.Election.Won() {
		return NotRun
	}
	return Unknown
}

// InProgress says that this host still works on the request.
func (e *Entry) InProgress() bool {
	return e.Stage == Claiming || e.Stage == Waiting || e.Stage == Running
}
