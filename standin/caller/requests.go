package caller

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/request"
	"pimentospread/standin/ledger"
)

const (
	// initialAckTimeout is ACK_TIMEOUT of RFC 7252. It doubles with each retransmission.
	initialAckTimeout = 2 * time.Second
	// lateReplyTimeout is the time after its deadline in which a request may still receive a reply.
	lateReplyTimeout = 2 * time.Second
	// maxParts is the largest number of parts in one answer. An answer with more parts counts as wrong.
	maxParts = 1024
)

// sentRequest is a request that was sent, with its record and its transmission state.
type sentRequest struct {
	ledger.RequestRecord
	request   request.Request
	from, to  netip.AddrPort
	firstSent time.Time
	nextSend  time.Time
	// timeout is the time from the next transmission to the one after it.
	timeout time.Duration
	// cancelAt is the time at which the caller withdraws the request, or zero.
	cancelAt time.Time
	// assemblies holds the received parts by the tag of the run that sent them.
	assemblies map[string]*answerAssembly
}

// answerAssembly collects the parts of the answer of one run.
type answerAssembly struct {
	parts map[uint32][]byte
	// last is the number of the last part; it is valid if lastReceived is set.
	last         uint32
	lastReceived bool
}

// Transmission is a request to send, with its inner addresses and its service.
type Transmission struct {
	From, To netip.AddrPort
	Service  pimentospread.ServiceName
	Request  request.Request
}

// Requests holds all requests of a caller process. A single duty owns it.
type Requests struct {
	plan    Plan
	started time.Time
	// sentCounts holds the number of requests sent by each stream of the plan.
	sentCounts []int
	all        []*sentRequest
	byToken    map[uint64]*sentRequest
	pending    map[uint64]*sentRequest
}

// NewRequests returns the requests of a plan, which Step sends from the given time on.
func NewRequests(p Plan, now time.Time) *Requests {
	return &Requests{
		plan: p, started: now, sentCounts: make([]int, len(p.Requests)),
		byToken: map[uint64]*sentRequest{}, pending: map[uint64]*sentRequest{},
	}
}

// Pending returns the number of requests without an outcome.
func (r *Requests) Pending() int { return len(r.pending) }

// Step appends the requests, retransmissions and withdrawals to send now, and
// ends requests that have passed their deadline. It creates new requests only if
// startNew is set.
func (r *Requests) Step(now time.Time, startNew bool, transmissions []Transmission) []Transmission {
	if startNew {
		for i, stream := range r.plan.Requests {
			for r.sentCounts[i] < stream.due(now.Sub(r.started)) {
				r.sentCounts[i]++
				r.addRequest(now, stream)
			}
		}
	}
	for token, s := range r.pending {
		switch {
		case now.After(s.request.Deadline.Add(lateReplyTimeout)):
			r.finish(now, token, s, ledger.NoReply)
		case !s.cancelAt.IsZero() && !now.Before(s.cancelAt):
			withdrawal := s.request
			withdrawal.Cancelled, withdrawal.Idempotent = true, false
			transmissions = append(transmissions, Transmission{s.from, s.to, s.Service, withdrawal})
			r.finish(now, token, s, ledger.Withdrawn)
		case !now.Before(s.nextSend) && now.Before(s.request.Deadline):
			s.nextSend = now.Add(s.timeout)
			s.timeout *= 2
			transmissions = append(transmissions, Transmission{s.from, s.to, s.Service, s.request})
		}
	}
	return transmissions
}

// due returns the number of requests that the stream has to have sent at the
// given time since the start of the plan.
func (stream RequestStream) due(elapsed time.Duration) int {
	elapsed -= stream.After.Duration
	if stream.For.Duration > 0 {
		elapsed = min(elapsed, stream.For.Duration)
	}
	return int(elapsed.Seconds() * float64(stream.Rate))
}

// addRequest creates the next request of a stream, which is due at once.
func (r *Requests) addRequest(now time.Time, stream RequestStream) {
	sequence := uint64(len(r.all))
	caller := int(sequence % uint64(r.plan.Callers))
	service := r.plan.service(stream.Service)
	id := pimentospread.RequestID{Caller: r.plan.callerID(caller), Sequence: sequence}
	s := &sentRequest{
		RequestRecord: ledger.RequestRecord{Request: id, Service: stream.Service, Class: stream.Class, Idempotent: stream.Idempotent, Told: ledger.NoReply, At: pimentospread.Duration{Duration: now.Sub(r.started)}},
		from:          r.plan.callerAddress(caller), to: service.Address, firstSent: now, nextSend: now, timeout: initialAckTimeout,
		assemblies: map[string]*answerAssembly{},
	}
	s.request = request.Request{
		ID: id, Class: stream.Class, Deadline: now.Add(stream.Deadline.Duration), Idempotent: stream.Idempotent, Path: "/" + string(stream.Class),
		Origin: request.Origin{
			Token:     binary.BigEndian.AppendUint64(nil, sequence),
			MessageID: uint16(sequence), Confirmable: true,
		},
	}
	if stream.CancelAfter.Duration > 0 {
		s.cancelAt = now.Add(stream.CancelAfter.Duration)
	}
	r.all = append(r.all, s)
	r.byToken[sequence], r.pending[sequence] = s, s
}

// finish records the result of a request and removes it from the pending ones.
func (r *Requests) finish(now time.Time, token uint64, s *sentRequest, result ledger.Result) {
	s.Told = result
	s.Took.Duration = now.Sub(s.firstSent)
	s.assemblies = nil
	delete(r.pending, token)
}

// Acknowledge handles an empty acknowledgement to the caller at the given
// address, which means that the answer follows. The request is retransmitted only
// after half of the time that is left, in case the answer is lost. Message IDs
// repeat, so the acknowledgement applies to the newest pending request with the ID.
func (r *Requests) Acknowledge(now time.Time, to netip.AddrPort, messageID uint16) {
	var newest *sentRequest
	for _, s := range r.pending {
		if s.from == to && s.request.Origin.MessageID == messageID && (newest == nil || s.firstSent.After(newest.firstSent)) {
			newest = s
		}
	}
	if newest != nil {
		newest.nextSend = now.Add(newest.request.Deadline.Sub(now) / 2)
	}
}

// Receive handles a reply to the caller at the given address.
func (r *Requests) Receive(now time.Time, to netip.AddrPort, reply request.Reply) {
	if len(reply.Origin.Token) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(reply.Origin.Token)
	s := r.byToken[token]
	if s == nil {
		return
	}
	if s.from != to {
		s.Wrong = true
		return
	}
	if r.pending[token] == nil {
		s.recordContradiction(reply.Outcome)
		return
	}
	switch reply.Outcome {
	case request.Answered:
		r.assemble(now, token, s, reply.Part)
	case request.TargetFailed:
		r.finish(now, token, s, ledger.TargetFailed)
	case request.NotRun:
		r.finish(now, token, s, ledger.NotRun)
	case request.Unknown:
		r.finish(now, token, s, ledger.Unknown)
	default:
		r.finish(now, token, s, ledger.Malformed)
	}
}

// recordContradiction sets Contradicted if a later reply cannot be true together
// with the first one. Unknown is compatible with every other outcome.
func (s *sentRequest) recordContradiction(later request.Outcome) {
	ran := later == request.Answered || later == request.TargetFailed
	reportedRun := s.Told == ledger.Answered || s.Told == ledger.TargetFailed
	if s.Told == ledger.NotRun && ran || reportedRun && later == request.NotRun {
		s.Contradicted = true
	}
}

// assemble joins the parts of one run. It finishes the request when all parts
// have arrived, and sets Wrong if the answer differs from the expected content.
func (r *Requests) assemble(now time.Time, token uint64, s *sentRequest, part request.Part) {
	if part.Number >= maxParts {
		s.Wrong = true
		return
	}
	assembly := s.assemblies[string(part.Tag)]
	if assembly == nil {
		assembly = &answerAssembly{parts: map[uint32][]byte{}}
		s.assemblies[string(part.Tag)] = assembly
	}
	assembly.parts[part.Number] = part.Payload
	if !part.More {
		assembly.last, assembly.lastReceived = part.Number, true
	}
	if !assembly.lastReceived || len(assembly.parts) <= int(assembly.last) {
		return
	}
	var answer []byte
	for i := range assembly.last + 1 {
		answer = append(answer, assembly.parts[i]...)
	}
	if !bytes.Equal(answer, ledger.AnswerContent(s.Request, r.plan.AnswerSize)) {
		s.Wrong = true
	}
	r.finish(now, token, s, ledger.Answered)
}

// Records returns the records of all requests, in the order in which they were created.
func (r *Requests) Records() []ledger.RequestRecord {
	records := make([]ledger.RequestRecord, 0, len(r.all))
	for _, s := range r.all {
		records = append(records, s.RequestRecord)
	}
	return records
}
