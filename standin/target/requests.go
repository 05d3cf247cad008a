package target

import (
	"encoding/binary"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/request"
	"pimentospread/standin/ledger"
)

const (
	// coldSlowdown is the factor by which requests take longer at a cold target.
	coldSlowdown = 4
	// maxRuns limits the size of the ledger of a target.
	maxRuns = 1 << 20
)

// attemptKey identifies an attempt by its host and ID.
type attemptKey struct {
	host    netip.AddrPort
	attempt pimentospread.AttemptID
}

// activeRequest is a request that occupies a slot.
type activeRequest struct {
	attemptKey
	// run is the index in the ledger.
	run int
	end time.Time
}

// Outgoing is an answer with the address of its host.
type Outgoing struct {
	To     netip.AddrPort
	Answer request.Answer
}

// Requests holds the active requests of a target, and a record of every request
// that it started, for the ledger.
type Requests struct {
	service     pimentospread.ServiceName
	slots       pimentospread.Slots
	serviceTime time.Duration
	answerSize  int
	// seen holds all attempts that were received.
	seen   map[attemptKey]bool
	active []activeRequest
	runs   []ledger.Run
	// shed counts the refused attempts.
	shed int
	// repeated counts the duplicate attempts.
	repeated int
}

// NewRequests returns an empty request endpoint.
func NewRequests(o Options) *Requests {
	return &Requests{
		service: o.Service, slots: o.Slots, serviceTime: o.ServiceTime, answerSize: o.AnswerSize,
		seen: map[attemptKey]bool{},
	}
}

// Running returns the number of slots in use.
func (r *Requests) Running() pimentospread.Slots { return pimentospread.Slots(len(r.active)) }

// Receive starts an attempt, refuses it, or ignores a duplicate. The returned
// answer has no address if there is nothing to send yet.
func (r *Requests) Receive(now time.Time, a request.Attempt, s Switches) (Outgoing, AttemptOutcome) {
	x := attemptKey{a.Address, a.ID}
	if r.seen[x] {
		r.repeated++
		return Outgoing{}, Ignored
	}
	r.seen[x] = true
	shed := a.Service != r.service || !now.Before(a.Deadline) || len(r.active) >= int(r.slots) || len(r.runs) >= maxRuns
	if shed {
		r.shed++
		return Outgoing{To: a.Address, Answer: request.Answer{Attempt: a.ID, Kind: request.Shed}}, Refused
	}
	run := ledger.Run{
		Request: a.Request, Attempt: a.ID, Class: a.Class, Idempotent: a.Idempotent,
		Started: now, Ended: ledger.Running,
	}
	if s.FailFast {
		run.Ended = ledger.Failed
		r.runs = append(r.runs, run)
		return Outgoing{To: a.Address, Answer: request.Answer{Attempt: a.ID, Kind: request.Failed}}, Started
	}
	duration := r.serviceTime
	if s.Cold {
		duration *= coldSlowdown
	}
	r.active = append(r.active, activeRequest{attemptKey: x, run: len(r.runs), end: now.Add(duration)})
	r.runs = append(r.runs, run)
	return Outgoing{}, Started
}

// AttemptOutcome is the result of receiving an attempt.
type AttemptOutcome uint8

// Outcomes of an attempt.
const (
	// Ignored means that the attempt is a duplicate.
	Ignored AttemptOutcome = iota
	// Refused means that the attempt was answered and does not run.
	Refused
	// Started means that the attempt runs, or has failed immediately with an answer.
	Started
)

// Finish completes the requests that are due and appends their answers, one for
// each part.
func (r *Requests) Finish(now time.Time, answers []Outgoing) []Outgoing {
	kept := r.active[:0]
	for _, a := range r.active {
		if now.Before(a.end) {
			kept = append(kept, a)
			continue
		}
		r.runs[a.run].Ended = ledger.Done
		answers = r.appendParts(a, answers)
	}
	r.active = kept
	return answers
}

func (r *Requests) appendParts(a activeRequest, answers []Outgoing) []Outgoing {
	content := ledger.AnswerContent(r.runs[a.run].Request, r.answerSize)
	// The tag identifies the attempt, so that parts of two runs are never combined.
	tag := binary.BigEndian.AppendUint64(nil, uint64(a.attempt))
	for number := uint32(0); ; number++ {
		payload := content[:min(len(content), coap.MaxPartSize)]
		content = content[len(payload):]
		part := request.Part{Number: number, More: len(content) > 0, Tag: tag, Payload: payload}
		answers = append(answers, Outgoing{To: a.host, Answer: request.Answer{Attempt: a.attempt, Part: part}})
		if !part.More {
			return answers
		}
	}
}

// Cancel cancels an active attempt and appends the confirmation. It has no effect
// on an attempt that has already ended.
func (r *Requests) Cancel(host netip.AddrPort, messageID uint16, answers []Outgoing) []Outgoing {
	for i, a := range r.active {
		if a.host != host || coap.MessageID(a.attempt) != messageID {
			continue
		}
		r.runs[a.run].Ended = ledger.Cancelled
		r.active = append(r.active[:i], r.active[i+1:]...)
		return append(answers, Outgoing{To: host, Answer: request.Answer{Attempt: a.attempt, Kind: request.Failed}})
	}
	return answers
}

// NextEnd returns the time at which the next active request ends. It reports false
// when no request is active.
func (r *Requests) NextEnd() (time.Time, bool) {
	var next time.Time
	for _, a := range r.active {
		if next.IsZero() || a.end.Before(next) {
			next = a.end
		}
	}
	return next, !next.IsZero()
}
