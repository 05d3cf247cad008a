package caller

import (
	"time"

	"pimentospread"
	"pimentospread/packet"
	"pimentospread/standin/ledger"
)

const (
	// retransmitAfter is the initial retransmission timeout of RFC 6298.
	retransmitAfter = time.Second
	// synTries is how often a SYN is sent before the flow counts as refused.
	synTries = 8
	window   = 1<<16 - 1
	// payloadLength is the length of the small packets that keep a flow open.
	payloadLength = 16
)

// state is where a flow stands.
type state uint8

const (
	opening state = iota
	open
	refused
	brokenByReset
	brokenBySilence
)

// clientFlow is a flow as the caller sees it.
type clientFlow struct {
	key     pimentospread.FlowKey
	service int
	state   state
	// established flows were open once.
	established bool
	// initial is the sequence number of the SYN.
	initial uint32
	// sent and acknowledged are the caller's sequence numbers; they differ while a packet is under way.
	sent, acknowledged uint32
	// expected is the next sequence number of the target.
	expected uint32
	tries    int
	nextSend time.Time
	// since is when the packet that is under way was first sent.
	since time.Time
	// probed flows have sent the last packet of the run.
	probed bool
}

// Flows are all flows of a caller process. One duty owns them.
type Flows struct {
	plan    Plan
	started time.Time
	// order lists the service of each flow in the order of opening.
	order []int
	all   []*clientFlow
	byKey map[pimentospread.FlowKey]*clientFlow
	// closing flows send one more packet and then wait.
	closing bool
}

// NewFlows returns flows that are opened by the plan from the given time on.
func NewFlows(p Plan, now time.Time) *Flows {
	f := &Flows{plan: p, started: now, byKey: map[pimentospread.FlowKey]*clientFlow{}}
	for i, s := range p.Services {
		for range s.Flows {
			f.order = append(f.order, i)
		}
	}
	return f
}

// Step appends what is to be sent now: SYNs of new flows, small packets and retransmissions.
func (f *Flows) Step(now time.Time, segments []packet.Segment) []packet.Segment {
	due := min(int(now.Sub(f.started).Seconds()*float64(f.plan.OpenRate)), len(f.order))
	for len(f.all) < due {
		f.add(now)
	}
	for _, c := range f.all {
		if now.Before(c.nextSend) {
			continue
		}
		switch c.state {
		case opening:
			segments = c.sendSYN(now, segments)
		case open:
			if c.probed && c.acknowledged == c.sent {
				continue
			}
			c.probed = f.closing
			segments = c.sendPayload(now, f.plan, segments)
		}
	}
	return segments
}

func (f *Flows) add(now time.Time) {
	n := len(f.all)
	c := &clientFlow{
		key:     pimentospread.FlowKey{Caller: f.plan.flowAddress(n), Service: f.plan.Services[f.order[n]].Address},
		service: f.order[n], nextSend: now,
	}
	c.initial = uint32(c.key.ID() >> 32)
	f.all = append(f.all, c)
	f.byKey[c.key] = c
}

func (c *clientFlow) sendSYN(now time.Time, segments []packet.Segment) []packet.Segment {
	if c.tries == synTries {
		c.state = refused
		return segments
	}
	c.tries++
	c.nextSend = now.Add(retransmitAfter)
	return append(segments, packet.Segment{
		From: c.key.Caller, To: c.key.Service, Sequence: c.initial, Flags: packet.Flags{SYN: true}, Window: window,
	})
}

// sendPayload sends a new small packet, or the one that is under way once more.
func (c *clientFlow) sendPayload(now time.Time, p Plan, segments []packet.Segment) []packet.Segment {
	if c.acknowledged == c.sent {
		c.sent += payloadLength
		c.since = now
	}
	if now.Sub(c.since) > p.SilentAfter.Duration {
		c.state = brokenBySilence
		return segments
	}
	c.nextSend = now.Add(retransmitAfter)
	s := c.segment(make([]byte, payloadLength))
	s.Sequence = c.sent - payloadLength
	return append(segments, s)
}

func (c *clientFlow) segment(payload []byte) packet.Segment {
	return packet.Segment{
		From: c.key.Caller, To: c.key.Service, Sequence: c.sent, Acknowledgement: c.expected,
		Flags: packet.Flags{ACK: true}, Window: window, Payload: payload,
	}
}

// Receive takes a packet of a target and appends the answers.
func (f *Flows) Receive(now time.Time, d packet.Datagram, answers []packet.Segment) []packet.Segment {
	c := f.byKey[pimentospread.FlowKey{Caller: d.To, Service: d.From}]
	if c == nil {
		return answers
	}
	switch c.state {
	case opening:
		return c.receiveOpening(now, d, f.plan, answers)
	case open:
		return c.receiveOpen(now, d, f.plan, answers)
	default:
		return answers
	}
}

func (c *clientFlow) receiveOpening(now time.Time, d packet.Datagram, p Plan, answers []packet.Segment) []packet.Segment {
	if !d.Flags.ACK || d.Acknowledgement != c.initial+1 {
		return answers
	}
	if d.Flags.RST {
		c.state = refused
		return answers
	}
	if !d.Flags.SYN {
		return answers
	}
	c.state, c.established = open, true
	c.sent, c.acknowledged, c.expected = c.initial+1, c.initial+1, d.Sequence+1
	// The phase follows from the flow, so that packets spread over the interval.
	c.nextSend = now.Add(time.Duration(uint64(c.key.ID()) % uint64(p.KeepAlive.Duration)))
	return append(answers, c.segment(nil))
}

// receiveOpen accepts a reset only at the exact sequence number (RFC 5961, section 3).
func (c *clientFlow) receiveOpen(now time.Time, d packet.Datagram, p Plan, answers []packet.Segment) []packet.Segment {
	if d.Flags.RST {
		if d.Sequence == c.expected {
			c.state = brokenByReset
		}
		return answers
	}
	if d.Flags.ACK && d.Acknowledgement == c.sent && c.acknowledged != c.sent {
		c.acknowledged = c.sent
		c.nextSend = now.Add(p.KeepAlive.Duration)
	}
	length := d.SequenceLength()
	if length == 0 {
		return answers
	}
	if d.Sequence == c.expected {
		c.expected += length
		if d.Flags.FIN {
			// The targets never end a flow by themselves, so this one was ended in between.
			c.state = brokenByReset
		}
	}
	return append(answers, c.segment(nil))
}

// Probe makes every open flow send one last packet, spread over the given
// time. Its acknowledgement shows that the flow is held.
func (f *Flows) Probe(now time.Time, spread time.Duration) {
	f.closing = true
	for _, c := range f.all {
		if c.state == open && c.acknowledged == c.sent {
			c.nextSend = now.Add(time.Duration(uint64(c.key.ID()) % uint64(spread)))
		}
	}
}

// Finished says that no flow is opening and that the last packet of every open flow was acknowledged.
func (f *Flows) Finished() bool {
	for _, c := range f.all {
		if c.state == opening || c.state == open && (!c.probed || c.acknowledged != c.sent) {
			return false
		}
	}
	return true
}

// Counts counts the flows by service. A flow whose packet is under way at the end counts as silent.
func (f *Flows) Counts() []ledger.FlowCounts {
	notes := make([]ledger.FlowCounts, len(f.plan.Services))
	for i, s := range f.plan.Services {
		notes[i].Service = s.Name
	}
	for _, c := range f.all {
		n := &notes[c.service]
		if c.established {
			n.Opened++
		}
		switch {
		case c.state == open && c.acknowledged == c.sent:
			n.Held++
		case c.state == open, c.state == brokenBySilence:
			n.Broken++
			n.Silent++
		case c.state == brokenByReset:
			n.Broken++
			n.Reset++
		default:
			n.Refused++
		}
	}
	return notes
}
