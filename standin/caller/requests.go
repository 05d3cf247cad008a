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
	// acknowledgeAfter is ACK_TIMEOUT of RFC 7252; it doubles with each retransmission.
	acknowledgeAfter = 2 * time.Second
	// lateReply is how long after its deadline a request may still get a reply.
	lateReply = 2 * time.Second
	// maxParts bounds the parts of one answer.
	maxParts = 1024
)

// asked is one request and what is known of it.
type asked struct {
	ledger.RequestRecord
	request  request.Request
	from, to netip.AddrPort
	first    time.Time
	nextSend time.Time
	timeout  time.Duration
	// cancelAt is when the caller withdraws the request, or zero.
	cancelAt  time.Time
	assembled map[string]*assembly
}

// assembly collects the parts of one run's answer.
type assembly struct {
	parts map[uint32][]byte
	// last is the number of the last part, when it has arrived.
	last  uint32
	ended bool
}

// Transmission is a request with its inner addresses.
type Transmission struct {
	From, To netip.AddrPort
	Service  pimentospread.ServiceName
	Request  request.Request
}

// Requests are all requests of a caller process. One duty owns them.
type Requests struct {
	plan    Plan
	started time.Time
	// counts are the requests sent by each stream.
	counts  []int
	all     []*asked
	byToken map[uint64]*asked
	pending map[uint64]*asked
}

// NewRequests returns requests that are sent by the plan from the given time on.
func NewRequests(p Plan, now time.Time) *Requests {
	return &Requests{
		plan: p, started: now, counts: make([]int, len(p.Requests)),
		byToken: map[uint64]*asked{}, pending: map[uint64]*asked{},
	}
}

// Pending returns how many requests have no outcome yet.
func (r *Requests) Pending() int { return len(r.pending) }

// Step appends the requests to send now. New ones are sent only when open is true.
func (r *Requests) Step(now time.Time, open bool, transmissions []Transmission) []Transmission {
	if open {
		for i, w := range r.plan.Requests {
			for r.counts[i] < w.due(now.Sub(r.started)) {
				r.counts[i]++
				r.add(now, w)
			}
		}
	}
	for token, a := range r.pending {
		switch {
		case now.After(a.request.Deadline.Add(lateReply)):
			r.settle(now, token, a, ledger.NoReply)
		case !a.cancelAt.IsZero() && !now.Before(a.cancelAt):
			withdrawal := a.request
			withdrawal.Cancelled, withdrawal.Idempotent = true, false
			transmissions = append(transmissions, Transmission{a.from, a.to, a.Service, withdrawal})
			r.settle(now, token, a, ledger.Withdrawn)
		case !now.Before(a.nextSend) && now.Before(a.request.Deadline):
			a.nextSend = now.Add(a.timeout)
			a.timeout *= 2
			transmissions = append(transmissions, Transmission{a.from, a.to, a.Service, a.request})
		}
	}
	return transmissions
}

// due returns how many requests the stream has sent after the given time.
func (w RequestStream) due(elapsed time.Duration) int {
	elapsed -= w.After.Duration
	if w.For.Duration > 0 {
		elapsed = min(elapsed, w.For.Duration)
	}
	return int(elapsed.Seconds() * float64(w.Rate))
}

func (r *Requests) add(now time.Time, w RequestStream) {
	number := uint64(len(r.all))
	caller := int(number % uint64(r.plan.Callers))
	s := r.plan.service(w.Service)
	id := pimentospread.RequestID{Caller: r.plan.callerID(caller), Sequence: number}
	a := &asked{
		RequestRecord: ledger.RequestRecord{Request: id, Service: w.Service, Class: w.Class, Idempotent: w.Idempotent, Told: ledger.NoReply, At: pimentospread.Duration{Duration: now.Sub(r.started)}},
		from:          r.plan.callerAddress(caller), to: s.Address, first: now, nextSend: now, timeout: acknowledgeAfter,
		assembled: map[string]*assembly{},
	}
	a.request = request.Request{
		ID: id, Class: w.Class, Deadline: now.Add(w.Deadline.Duration), Idempotent: w.Idempotent, Path: "/" + string(w.Class),
		Origin: request.Origin{
			Token:     binary.BigEndian.AppendUint64(nil, number),
			MessageID: uint16(number), Confirmable: true,
		},
	}
	if w.CancelAfter.Duration > 0 {
		a.cancelAt = now.Add(w.CancelAfter.Duration)
	}
	r.all = append(r.all, a)
	r.byToken[number], r.pending[number] = a, a
}

func (r *Requests) settle(now time.Time, token uint64, a *asked, told ledger.Result) {
	a.Told = told
	a.Took.Duration = now.Sub(a.first)
	a.assembled = nil
	delete(r.pending, token)
}

// Acknowledge takes an empty acknowledgement to the caller at the given
// address: the answer follows. The request is sent again only in the middle of
// the time that is left, in case the answer is lost. Message ids repeat, so the
// newest pending request with the id is meant.
func (r *Requests) Acknowledge(now time.Time, to netip.AddrPort, messageID uint16) {
	var newest *asked
	for _, a := range r.pending {
		if a.from == to && a.request.Origin.MessageID == messageID && (newest == nil || a.first.After(newest.first)) {
			newest = a
		}
	}
	if newest != nil {
		newest.nextSend = now.Add(newest.request.Deadline.Sub(now) / 2)
	}
}

// Receive takes a reply to the caller at the given address.
func (r *Requests) Receive(now time.Time, to netip.AddrPort, p request.Reply) {
	if len(p.Origin.Token) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(p.Origin.Token)
	a := r.byToken[token]
	if a == nil {
		return
	}
	if a.from != to {
		a.Wrong = true
		return
	}
	if r.pending[token] == nil {
		a.contradict(p.Outcome)
		return
	}
	switch p.Outcome {
	case request.Answered:
		r.assemble(now, token, a, p.Part)
	case request.TargetFailed:
		r.settle(now, token, a, ledger.TargetFailed)
	case request.NotRun:
		r.settle(now, token, a, ledger.NotRun)
	case request.Unknown:
		r.settle(now, token, a, ledger.Unknown)
	default:
		r.settle(now, token, a, ledger.Malformed)
	}
}

// contradict notes a later reply that cannot be true together with the first.
// "Unknown" goes together with every other reply.
func (a *asked) contradict(later request.Outcome) {
	ran := later == request.Answered || later == request.TargetFailed
	toldRan := a.Told == ledger.Answered || a.Told == ledger.TargetFailed
	if a.Told == ledger.NotRun && ran || toldRan && later == request.NotRun {
		a.Contradicted = true
	}
}

// assemble joins parts of the same run, and checks the whole answer against the request.
func (r *Requests) assemble(now time.Time, token uint64, a *asked, p request.Part) {
	if p.Number >= maxParts {
		a.Wrong = true
		return
	}
	y := a.assembled[string(p.Tag)]
	if y == nil {
		y = &assembly{parts: map[uint32][]byte{}}
		a.assembled[string(p.Tag)] = y
	}
	y.parts[p.Number] = p.Payload
	if !p.More {
		y.last, y.ended = p.Number, true
	}
	if !y.ended || len(y.parts) <= int(y.last) {
		return
	}
	var whole []byte
	for i := range y.last + 1 {
		whole = append(whole, y.parts[i]...)
	}
	if !bytes.Equal(whole, ledger.AnswerContent(a.Request, r.plan.AnswerSize)) {
		a.Wrong = true
	}
	r.settle(now, token, a, ledger.Answered)
}

// Records returns the ledger of all requests.
func (r *Requests) Records() []ledger.RequestRecord {
	notes := make([]ledger.RequestRecord, 0, len(r.all))
	for _, a := range r.all {
		notes = append(notes, a.RequestRecord)
	}
	return notes
}
