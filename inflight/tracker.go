// Package inflight estimates the load of each target from the packets of
// callers. A host does not see the answers of targets: a request starts when the
// caller sends new data and ends when the caller acknowledges more data than
// before.
package inflight

import (
	"time"

	"pimentospread"
)

// Config sets the limits and periods of a Tracker.
type Config struct {
	// MaxFlows limits the tracked flows. Further flows are forwarded but not counted.
	MaxFlows int
	// AveragingWindow is the period over which the load of a target is averaged.
	AveragingWindow time.Duration
	// MaxRequestTime is how long a request counts as running if no answer is
	// seen. Callers delay the acknowledgement of an answer of one packet.
	MaxRequestTime time.Duration
	// MinRetransmissionDelay is the shortest time after which a sender retransmits
	// data. Old data that arrives sooner was reordered.
	MinRetransmissionDelay time.Duration
	// FlowLifetime is how long a flow is tracked after its caller last sent data.
	FlowLifetime time.Duration
}

// Tracker counts the requests in flight at each target. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	flows   map[pimentospread.FlowID]*flow
	targets map[pimentospread.Token]*Target
	// running holds the started requests in the order of their start, to end those
	// whose answer is not seen within MaxRequestTime.
	running queue
	// lastSweep is when flows were last checked against FlowLifetime.
	lastSweep time.Time
}

// flow is the state of a flow as seen from its caller's packets.
type flow struct {
	target *Target
	// opening is set while the caller has sent only its SYN.
	opening bool
	// busy is set while a request of the flow counts as running.
	busy bool
	// since is when the running request started.
	since time.Time
	// lastSent is when the caller last sent data or its SYN.
	lastSent time.Time
	// ack is the caller's acknowledgement number when its request started.
	ack uint32
	// nextSequence is the sequence number after the last byte that the caller sent.
	nextSequence uint32
	// unansweredSince is when the caller sent the oldest data that is not answered yet. It
	// is zero if all are.
	unansweredSince time.Time
}

// Target is the estimated load of one target.
type Target struct {
	Token   pimentospread.Token
	running int
	average float64
	// updated is when average was last updated.
	updated time.Time
}

// New returns an empty tracker.
func New(c Config) *Tracker {
	return &Tracker{
		config:  c,
		flows:   map[pimentospread.FlowID]*flow{},
		targets: map[pimentospread.Token]*Target{},
	}
}

// Target returns the load of a target and creates it if needed. The pointer
// stays valid until Retain drops the target.
func (t *Tracker) Target(token pimentospread.Token) *Target {
	target, ok := t.targets[token]
	if !ok {
		target = &Target{Token: token}
		t.targets[token] = target
	}
	return target
}

// Retain drops the load of all targets that are not in the set.
func (t *Tracker) Retain(keep func(pimentospread.Token) bool) {
	for token := range t.targets {
		if !keep(token) {
			delete(t.targets, token)
		}
	}
}

// Load returns the load of the target as far as this host sees it: the moving
// average of its running requests plus those that run now.
func (t *Tracker) Load(now time.Time, target *Target) float64 {
	target.advance(now, t.config.AveragingWindow)
	return target.average + float64(target.running)
}

// Running returns the number of requests that currently run at the target.
func (t *Target) Running() int { return t.running }

// advance moves the average to the given time.
func (t *Target) advance(now time.Time, window time.Duration) {
	elapsed := now.Sub(t.updated)
	t.updated = now
	if elapsed <= 0 {
		return
	}
	weight := float64(elapsed) / float64(window)
	if weight > 1 {
		weight = 1
	}
	t.average += (float64(t.running) - t.average) * weight
}

// add changes the number of running requests of the target by n.
func (t *Tracker) add(now time.Time, target *Target, n int) {
	target.advance(now, t.config.AveragingWindow)
	target.running = max(target.running+n, 0)
}

// RecordOpen records that the SYN of a flow was forwarded to the target. The
// handshake counts as a running request until the caller continues it.
func (t *Tracker) RecordOpen(now time.Time, id pimentospread.FlowID, target *Target) {
	t.expire(now)
	f, known := t.flows[id]
	if !known && len(t.flows) >= t.config.MaxFlows {
		return
	}
	if known {
		t.finish(now, f)
	}
	f = &flow{target: target, opening: true, lastSent: now}
	t.flows[id] = f
	t.start(now, f, 0)
}

// OpeningTarget returns the target of a flow that is still opening, and when
// RecordOpen recorded its SYN. A copy of the SYN may follow at once, for example
// after a pause of the host, because both waited in its socket. Such a copy is no sign
// that the target does not answer: see IsRetransmission.
func (t *Tracker) OpeningTarget(id pimentospread.FlowID) (*Target, time.Time, bool) {
	f, ok := t.flows[id]
	if !ok || !f.opening {
		return nil, time.Time{}, false
	}
	return f.target, f.lastSent, true
}

// Tracks reports whether this host has seen packets of the flow within its lifetime.
func (t *Tracker) Tracks(id pimentospread.FlowID) bool {
	_, ok := t.flows[id]
	return ok
}

// IsRetransmission reports whether a packet that arrives now can be a
// retransmission of one that was sent at the given time.
func (t *Tracker) IsRetransmission(now, sent time.Time) bool {
	return now.Sub(sent) >= t.config.MinRetransmissionDelay
}

// Signal is what a packet shows about the target of its flow.
type Signal struct {
	// Answered is set if the caller received an answer since its last packet, and AnsweredAt
	// is the earliest time at which it can have received it: a caller may acknowledge an
	// answer only with its next request, long after it, but has not received it when it
	// sends the request again.
	Answered   bool
	AnsweredAt time.Time
	// DeliveredAt is when the packet was sent that the target answered. It is zero if the
	// caller had sent it more than once.
	DeliveredAt time.Time
	// Retransmitted is set if the caller retransmits data.
	Retransmitted bool
	// SentAt is when the retransmitted data was last sent.
	SentAt time.Time
	// FirstSentAt is when the oldest unanswered data was first sent. It is set if
	// Retransmitted is.
	FirstSentAt time.Time
	// AnswerTime is the time from the request to its answer. It is zero if it is unknown: a
	// caller that acknowledges an answer with its next request, or when it closes the flow,
	// may have waited before.
	AnswerTime time.Duration
}

// Segment holds the header fields of a packet of an open flow.
type Segment struct {
	Flow            pimentospread.FlowID
	Token           pimentospread.Token
	Sequence        uint32
	Acknowledgement uint32
	Length          uint16
	// Ends is set if the caller closes or resets the flow.
	Ends bool
}

// Observe records a packet of an open flow and returns what it shows about the target.
func (t *Tracker) Observe(now time.Time, p Segment) Signal {
	t.expire(now)
	f, ok := t.flows[p.Flow]
	if !ok {
		if p.Ends || len(t.flows) >= t.config.MaxFlows {
			return Signal{}
		}
		f = &flow{target: t.Target(p.Token), ack: p.Acknowledgement, nextSequence: p.Sequence}
		t.flows[p.Flow] = f
	}
	if f.target.Token != p.Token {
		t.finish(now, f)
		f.target = t.Target(p.Token)
	}
	signal := t.update(now, f, p)
	if p.Ends {
		t.finish(now, f)
		delete(t.flows, p.Flow)
	}
	return signal
}

// update advances the state of the flow by one packet.
func (t *Tracker) update(now time.Time, f *flow, p Segment) Signal {
	var signal Signal
	if f.opening {
		t.finish(now, f)
		f.opening, f.ack, f.nextSequence = false, p.Acknowledgement, p.Sequence
		signal.Answered, signal.AnsweredAt, signal.DeliveredAt = true, now, f.lastSent
	}
	if after(p.Acknowledgement, f.ack) {
		signal.Answered, signal.AnsweredAt = true, now
		if f.lastSent.Equal(f.unansweredSince) {
			signal.DeliveredAt = f.lastSent
		}
		switch {
		case f.unansweredSince.IsZero():
		case p.Length > 0 || p.Ends:
			signal.AnsweredAt = f.lastSent
		default:
			signal.AnswerTime = now.Sub(f.unansweredSince)
		}
		f.ack, f.unansweredSince = p.Acknowledgement, time.Time{}
		t.finish(now, f)
	}
	end := p.Sequence + uint32(p.Length)
	switch {
	case p.Length == 0:
	case after(end, f.nextSequence):
		f.nextSequence = end
		f.lastSent = now
		if f.unansweredSince.IsZero() {
			f.unansweredSince = now
		}
		t.start(now, f, p.Acknowledgement)
	case !signal.Answered && t.IsRetransmission(now, f.lastSent):
		signal.Retransmitted, signal.SentAt, signal.FirstSentAt = true, f.lastSent, f.unansweredSince
		f.lastSent = now
	}
	return signal
}

// after reports whether sequence number a follows b. Sequence numbers wrap around.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// start counts a running request of the flow unless one is already counted.
func (t *Tracker) start(now time.Time, f *flow, ack uint32) {
	if f.busy {
		return
	}
	f.busy, f.since, f.ack = true, now, ack
	t.add(now, f.target, 1)
	t.running.push(f, now)
}

// finish ends the running request of the flow, if any.
func (t *Tracker) finish(now time.Time, f *flow) {
	if !f.busy {
		return
	}
	f.busy = false
	t.add(now, f.target, -1)
}

// expire ends requests whose answer was not seen within MaxRequestTime, and drops
// flows whose caller sent no data for FlowLifetime.
func (t *Tracker) expire(now time.Time) {
	for {
		f, since, ok := t.running.oldest()
		if !ok || now.Sub(since) < t.config.MaxRequestTime && f.busy && f.since.Equal(since) {
			break
		}
		t.running.pop()
		if f.busy && f.since.Equal(since) {
			t.finish(now, f)
		}
	}
	if now.Sub(t.lastSweep) < t.config.FlowLifetime/4 {
		return
	}
	t.lastSweep = now
	for id, f := range t.flows {
		if now.Sub(f.lastSent) >= t.config.FlowLifetime {
			t.finish(now, f)
			delete(t.flows, id)
		}
	}
}
