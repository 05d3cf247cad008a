// Package inflight estimates from the packets of callers how busy each target
// is. A host sees only what callers send: a request begins with new data and
// has its answer when the caller acknowledges more than before.
package inflight

import (
	"time"

	"pimentospread"
)

// Config bounds what a tracker remembers.
type Config struct {
	// MaxFlows bounds the flows that are tracked. Flows above it are steered without being counted.
	MaxFlows int
	// AveragingWindow is the time over which the load of a target is averaged.
	AveragingWindow time.Duration
	// MaxRequestTime is how long a request counts as running when no answer is
	// seen: a caller does not acknowledge an answer of one packet at once.
	MaxRequestTime time.Duration
	// MinRetransmissionDelay is the shortest time after which a sender sends data again.
	// Data that come sooner have overtaken each other.
	MinRetransmissionDelay time.Duration
	// FlowLifetime is the silence after which a flow is forgotten.
	FlowLifetime time.Duration
}

// Tracker counts the requests in flight at each target. It belongs to one duty.
type Tracker struct {
	config  Config
	flows   map[pimentospread.FlowID]*flow
	targets map[pimentospread.Token]*Target
	// running holds requests in the order of their start, for those whose answer is never seen.
	running queue
	swept   time.Time
}

// flow is what is known of a flow from its caller's packets.
type flow struct {
	target *Target
	// opening says that the caller has not yet sent anything but its SYN.
	opening bool
	busy    bool
	since   time.Time
	// last is when the caller last sent data, or its SYN.
	last time.Time
	// ack is the caller's acknowledgement when its request began.
	ack uint32
	// sent is the sequence number after the last byte of the caller.
	sent uint32
}

// Target is the estimated load of one target.
type Target struct {
	Token   pimentospread.Token
	running int
	average float64
	at      time.Time
}

// New returns an empty tracker.
func New(c Config) *Tracker {
	return &Tracker{
		config:  c,
		flows:   map[pimentospread.FlowID]*flow{},
		targets: map[pimentospread.Token]*Target{},
	}
}

// Target returns the load of a target. It stays valid until Retain drops the target.
func (t *Tracker) Target(token pimentospread.Token) *Target {
	target, ok := t.targets[token]
	if !ok {
		target = &Target{Token: token}
		t.targets[token] = target
	}
	return target
}

// Retain forgets the targets that are not in the set.
func (t *Tracker) Retain(keep func(pimentospread.Token) bool) {
	for token := range t.targets {
		if !keep(token) {
			delete(t.targets, token)
		}
	}
}

// Load returns how many requests run at the target, as far as this host sees:
// the average of the last time and what runs now.
func (t *Tracker) Load(now time.Time, target *Target) float64 {
	target.advance(now, t.config.AveragingWindow)
	return target.average + float64(target.running)
}

// Running returns the number of requests that run at the target now.
func (g *Target) Running() int { return g.running }

func (g *Target) advance(now time.Time, averaging time.Duration) {
	passed := now.Sub(g.at)
	g.at = now
	if passed <= 0 {
		return
	}
	share := float64(passed) / float64(averaging)
	if share > 1 {
		share = 1
	}
	g.average += (float64(g.running) - g.average) * share
}

func (t *Tracker) add(now time.Time, g *Target, n int) {
	g.advance(now, t.config.AveragingWindow)
	g.running = max(g.running+n, 0)
}

// RecordOpen says that a flow was sent to a target. It counts as a request until
// the caller has heard from the target.
func (t *Tracker) RecordOpen(now time.Time, id pimentospread.FlowID, target *Target) {
	t.expire(now)
	f, known := t.flows[id]
	if !known && len(t.flows) >= t.config.MaxFlows {
		return
	}
	if known {
		t.finish(now, f)
	}
	f = &flow{target: target, opening: true, last: now}
	t.flows[id] = f
	t.start(now, f, 0)
}

// OpeningTarget returns the target to which a flow that is still opening was sent, and
// when. A copy of the SYN that follows at once, as after a pause of the host,
// was sent long before and says nothing of the target: see Repeats.
func (t *Tracker) OpeningTarget(id pimentospread.FlowID) (*Target, time.Time, bool) {
	f, ok := t.flows[id]
	if !ok || !f.opening {
		return nil, time.Time{}, false
	}
	return f.target, f.last, true
}

// IsRetransmission reports whether a packet that follows one sent at the given time can be its repetition.
func (t *Tracker) IsRetransmission(now, sent time.Time) bool {
	return now.Sub(sent) >= t.config.MinRetransmissionDelay
}

// Signal is what a packet says of the flow's target.
type Signal struct {
	// Answered says that the caller has heard from the target since its last packet.
	Answered bool
	// Retransmitted says that the caller sends again what it sent at the time Sent.
	Retransmitted bool
	SentAt        time.Time
}

// Segment is what a packet of an open flow shows.
type Segment struct {
	Flow     pimentospread.FlowID
	Token    pimentospread.Token
	Sequence uint32
	Ack      uint32
	Length   uint16
	Ends     bool
}

// Observe takes a packet of an open flow.
func (t *Tracker) Observe(now time.Time, p Segment) Signal {
	t.expire(now)
	f, ok := t.flows[p.Flow]
	if !ok {
		if p.Ends || len(t.flows) >= t.config.MaxFlows {
			return Signal{}
		}
		f = &flow{target: t.Target(p.Token), ack: p.Ack, sent: p.Sequence}
		t.flows[p.Flow] = f
	}
	if f.target.Token != p.Token {
		t.finish(now, f)
		f.target = t.Target(p.Token)
	}
	signal := t.follow(now, f, p)
	if p.Ends {
		t.finish(now, f)
		delete(t.flows, p.Flow)
	}
	return signal
}

func (t *Tracker) follow(now time.Time, f *flow, p Segment) Signal {
	var signal Signal
	if f.opening {
		t.finish(now, f)
		f.opening, f.ack, f.sent = false, p.Ack, p.Sequence
		signal.Answered = true
	}
	if after(p.Ack, f.ack) {
		signal.Answered = true
		f.ack = p.Ack
		t.finish(now, f)
	}
	end := p.Sequence + uint32(p.Length)
	switch {
	case p.Length == 0:
	case after(end, f.sent):
		f.sent = end
		f.last = now
		t.start(now, f, p.Ack)
	case !signal.Answered && t.IsRetransmission(now, f.last):
		signal.Retransmitted, signal.SentAt = true, f.last
		f.last = now
	}
	return signal
}

// after compares sequence numbers, which wrap around.
func after(a, b uint32) bool { return int32(a-b) > 0 }

func (t *Tracker) start(now time.Time, f *flow, ack uint32) {
	if f.busy {
		return
	}
	f.busy, f.since, f.ack = true, now, ack
	t.add(now, f.target, 1)
	t.running.push(f, now)
}

func (t *Tracker) finish(now time.Time, f *flow) {
	if !f.busy {
		return
	}
	f.busy = false
	t.add(now, f.target, -1)
}

// expire ends the count of requests whose answer was not seen, and forgets
// flows that have been silent for their longest life.
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
	if now.Sub(t.swept) < t.config.FlowLifetime/4 {
		return
	}
	t.swept = now
	for id, f := range t.flows {
		if now.Sub(f.last) >= t.config.FlowLifetime {
			t.finish(now, f)
			delete(t.flows, id)
		}
	}
}
