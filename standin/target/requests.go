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
	// coldFactor is how much slower a cold target is.
	coldFactor = 4
	// maxRuns bounds the ledger of one target.
	maxRuns = 1 << 20
)

// exchange is an attempt as the network sees it.
type exchange struct {
	host    netip.AddrPort
	attempt pimentospread.AttemptID
}

// running is a request that occupies a slot.
type running struct {
	exchange
	// run is the place in the ledger.
	run int
	end time.Time
}

// Outgoing is an answer with the host to which it goes.
type Outgoing struct {
	To     netip.AddrPort
	Answer request.Answer
}

// Requests are the requests of one target: those that run and the ledger of all that ran.
type Requests struct {
	service     pimentospread.ServiceName
	slots       pimentospread.Slots
	serviceTime time.Duration
	answerSize  int
	seen        map[exchange]bool
	active      []running
	runs        []ledger.Run
	shed        int
	repeated    int
}

// NewRequests returns an empty request endpoint.
func NewRequests(o Options) *Requests {
	return &Requests{
		service: o.Service, slots: o.Slots, serviceTime: o.ServiceTime, answerSize: o.AnswerSize,
		seen: map[exchange]bool{},
	}
}

// Running returns the number of slots in use.
func (r *Requests) Running() pimentospread.Slots { return pimentospread.Slots(len(r.active)) }

// Receive starts an attempt or refuses it before the start. It reports whether the attempt was started.
func (r *Requests) Receive(now time.Time, a request.Attempt, s Switches) (Outgoing, Start) {
	x := exchange{a.Address, a.ID}
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
	took := r.serviceTime
	if s.Cold {
		took *= coldFactor
	}
	r.active = append(r.active, running{exchange: x, run: len(r.runs), end: now.Add(took)})
	r.runs = append(r.runs, run)
	return Outgoing{}, Started
}

// Start says what became of an attempt.
type Start uint8

// What becomes of an attempt.
const (
	// Ignored attempts arrived a second time.
	Ignored Start = iota
	// Refused attempts have an answer and did not run.
	Refused
	// Started attempts run or have run; those that failed at once have an answer.
	Started
)

// Finish ends the requests that are due and appends their answers, one for each part.
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

func (r *Requests) appendParts(a running, answers []Outgoing) []Outgoing {
	content := ledger.Content(r.runs[a.run].Request, r.answerSize)
	// The tag names the run, so that parts of two runs are never joined.
	tag := binary.BigEndian.AppendUint64(nil, uint64(a.attempt))
	for number := uint32(0); ; number++ {
		piece := content[:min(len(content), coap.MaxPartSize)]
		content = content[len(piece):]
		part := request.Part{Number: number, More: len(content) > 0, Tag: tag, Payload: piece}
		answers = append(answers, Outgoing{To: a.host, Answer: request.Answer{Attempt: a.attempt, Part: part}})
		if !part.More {
			return answers
		}
	}
}

// Cancel withdraws an attempt and appends the confirmation. An attempt that has ended stays as it is.
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

// NextEnd returns when the next running request ends.
func (r *Requests) NextEnd() (time.Time, bool) {
	var next time.Time
	for _, a := range r.active {
		if next.IsZero() || a.end.Before(next) {
			next = a.end
		}
	}
	return next, !next.IsZero()
}
