package request

import (
	"bytes"
	"time"

	"pimentospread"
)

// Retention is the time for which a request is kept after its deadline, so that
// delayed transmissions are answered with its outcome.
const Retention = 2 * time.Second

// maxOrigins bounds the transmissions of one request that are answered. A caller
// that keeps using new tokens gets replies for the latest ones.
const maxOrigins = 4

// Stage is the state of a request at a host.
type Stage uint8

// Stages of a request.
const (
	// Claiming requests wait for grants from their electors.
	Claiming Stage = iota
	// Delegated requests are owned by another host that replies to the caller.
	Delegated
	// Waiting requests may be sent to a target and wait for a slot.
	Waiting
	// Running requests have been sent to a target.
	Running
	// Finished requests have an outcome.
	Finished
)

// Entry is the state of one request at a host.
type Entry struct {
	Request Request
	Arrived time.Time
	Stage   Stage
	// Origins are the transmissions that get replies.
	Origins []Origin
	// TriedTargets are the targets of all attempts. A retry prefers other targets.
	TriedTargets []pimentospread.TargetID
	// Attempt is the running attempt, or zero.
	Attempt pimentospread.AttemptID
	// SentAttempts are all attempts. Cancelled ones may still occupy their slots.
	SentAttempts []pimentospread.AttemptID
	// Answer holds the parts from the current attempt, with the tag for the caller.
	Answer Assembly
	// Outcome is set in the stage Finished.
	Outcome Outcome
	// Reason explains the outcome in the stage Finished.
	Reason string
	// Election is the owner election of a non-idempotent request, or nil.
	Election *Election
	// Owner is the host that replies to a delegated request.
	Owner Claimant
	// Error is the target's error if the outcome is TargetFailed.
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

// AddOrigin adds an origin that gets the entry's replies. It returns false when
// the origin is already known.
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

// Replies returns the replies for an origin so far: the parts that have arrived
// and, for a finished request without an answer, its outcome.
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

// Acknowledge returns the acknowledgements for confirmable transmissions. Later
// replies are sent as separate messages.
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

// UnsentOutcome returns the outcome when the host gives up and no attempt was run. Only
// the owner of a non-idempotent request can exclude that it ran: an idempotent one
// may run at another host.
func (e *Entry) UnsentOutcome() Outcome {
	if e.Election.Won() {
		return NotRun
	}
	return Unknown
}

// InProgress reports whether this host still handles the request.
func (e *Entry) InProgress() bool {
	return e.Stage == Claiming || e.Stage == Waiting || e.Stage == Running
}
