package caller

import (
	"time"

	"pimentospread"
	"pimentospread/packet"
	"pimentospread/standin/ledger"
)

const (
	// retransmitTimeout is the initial retransmission timeout of RFC 6298. It
	// stays constant instead of doubling.
	retransmitTimeout = time.Second
	// maxSYNs is the number of SYNs that are sent before a flow counts as refused.
	maxSYNs       = 8
	receiveWindow = 1<<16 - 1
	// payloadLength is the payload length of a keep-alive packet.
	payloadLength = 16
)

// flowState is the state of a flow.
type flowState uint8

const (
	stateOpening flowState = iota
	stateOpen
	// stateRefused means that the handshake did not complete.
	stateRefused
	// stateReset means that an open flow was broken by a reset or a FIN.
	stateReset
	// stateSilent means that an open flow was broken because a packet stayed unacknowledged.
	stateSilent
)

// clientFlow is the caller's side of a TCP flow. It sends one packet at a time
// and waits until that packet is acknowledged.
type clientFlow struct {
	key pimentospread.FlowKey
	// service is the index of the service in the plan.
	service int
	state   flowState
	// established reports whether the handshake completed.
	established bool
	// initial is the sequence number of the SYN.
	initial uint32
	// sent is the next sequence number of the caller, and acknowledged the
	// number up to which the target has acknowledged. They differ while a
	// packet is in flight.
	sent, acknowledged uint32
	// expected is the next sequence number that the target sends.
	expected uint32
	synCount int
	nextSend time.Time
	// firstSent is the time at which the packet in flight was sent for the first time.
	firstSent time.Time
	// probeSent reports whether the last packet of the run was sent.
	probeSent bool
}

// Flows holds all flows of a caller process. A single duty owns it.
type Flows struct {
	plan    Plan
	started time.Time
	// openOrder holds the service index of each flow, in the order in which the flows are opened.
	openOrder []int
	all       []*clientFlow
	byKey     map[pimentospread.FlowKey]*clientFlow
	// probing is set by Probe: each flow sends one last packet.
	probing bool
}

// NewFlows returns the flows of a plan, of which Step opens OpenRate per second from the given time on.
func NewFlows(p Plan, now time.Time) *Flows {
	f := &Flows{plan: p, started: now, byKey: map[pimentospread.FlowKey]*clientFlow{}}
	for i, s := range p.Services {
		for range s.Flows {
			f.openOrder = append(f.openOrder, i)
		}
	}
	return f
}

// Step opens the flows that are due and appends the segments to send now: SYNs,
// keep-alive packets and retransmissions.
func (f *Flows) Step(now time.Time, segments []packet.Segment) []packet.Segment {
	due := min(int(now.Sub(f.started).Seconds()*float64(f.plan.OpenRate)), len(f.openOrder))
	for len(f.all) < due {
		f.addFlow(now)
	}
	for _, c := range f.all {
		if now.Before(c.nextSend) {
			continue
		}
		switch c.state {
		case stateOpening:
			segments = c.sendSYN(now, segments)
		case stateOpen:
			if c.probeSent && c.acknowledged == c.sent {
				continue
			}
			c.probeSent = f.probing
			segments = c.sendPayload(now, f.plan, segments)
		}
	}
	return segments
}

func (f *Flows) addFlow(now time.Time) {
	n := len(f.all)
	c := &clientFlow{
		key:     pimentospread.FlowKey{Caller: f.plan.flowAddress(n), Service: f.plan.Services[f.openOrder[n]].Address},
		service: f.openOrder[n], nextSend: now,
	}
	c.initial = uint32(c.key.ID() >> 32)
	f.all = append(f.all, c)
	f.byKey[c.key] = c
}

func (c *clientFlow) sendSYN(now time.Time, segments []packet.Segment) []packet.Segment {
	if c.synCount == maxSYNs {
		c.state = stateRefused
		return segments
	}
	c.synCount++
	c.nextSend = now.Add(retransmitTimeout)
	return append(segments, packet.Segment{
		From: c.key.Caller, To: c.key.Service, Sequence: c.initial, Flags: packet.Flags{SYN: true}, Window: receiveWindow,
	})
}

// sendPayload appends a new keep-alive packet, or retransmits the one in flight.
// It gives up on the flow when that packet is unacknowledged for SilentAfter.
func (c *clientFlow) sendPayload(now time.Time, p Plan, segments []packet.Segment) []packet.Segment {
	if c.acknowledged == c.sent {
		c.sent += payloadLength
		c.firstSent = now
	}
	if now.Sub(c.firstSent) > p.SilentAfter.Duration {
		c.state = stateSilent
		return segments
	}
	c.nextSend = now.Add(retransmitTimeout)
	keepAlive := c.segment(make([]byte, payloadLength))
	keepAlive.Sequence = c.sent - payloadLength
	return append(segments, keepAlive)
}

func (c *clientFlow) segment(payload []byte) packet.Segment {
	return packet.Segment{
		From: c.key.Caller, To: c.key.Service, Sequence: c.sent, Acknowledgement: c.expected,
		Flags: packet.Flags{ACK: true}, Window: receiveWindow, Payload: payload,
	}
}

// Receive handles a packet of a target and appends the segments that answer it.
func (f *Flows) Receive(now time.Time, d packet.Datagram, answers []packet.Segment) []packet.Segment {
	c := f.byKey[pimentospread.FlowKey{Caller: d.To, Service: d.From}]
	if c == nil {
		return answers
	}
	switch c.state {
	case stateOpening:
		return c.receiveOpening(now, d, f.plan, answers)
	case stateOpen:
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
		c.state = stateRefused
		return answers
	}
	if !d.Flags.SYN {
		return answers
	}
	c.state, c.established = stateOpen, true
	c.sent, c.acknowledged, c.expected = c.initial+1, c.initial+1, d.Sequence+1
	// Each flow starts at a different offset, so that the keep-alive packets of
	// all flows are spread over the interval.
	c.nextSend = now.Add(time.Duration(uint64(c.key.ID()) % uint64(p.KeepAlive.Duration)))
	return append(answers, c.segment(nil))
}

// receiveOpen handles a packet of an open flow. It accepts a reset only at the
// exact sequence number (RFC 5961, section 3).
func (c *clientFlow) receiveOpen(now time.Time, d packet.Datagram, p Plan, answers []packet.Segment) []packet.Segment {
	if d.Flags.RST {
		if d.Sequence == c.expected {
			c.state = stateReset
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
			// Targets never close a flow, so the FIN comes from the load balancer or the fabric.
			c.state = stateReset
		}
	}
	return append(answers, c.segment(nil))
}

// Probe makes every open flow send one last packet within the given time. A
// flow whose last packet is acknowledged counts as held.
func (f *Flows) Probe(now time.Time, spread time.Duration) {
	f.probing = true
	for _, c := range f.all {
		if c.state == stateOpen && c.acknowledged == c.sent {
			c.nextSend = now.Add(time.Duration(uint64(c.key.ID()) % uint64(spread)))
		}
	}
}

// Finished reports whether no flow is still opening and the last packet of
// every open flow was acknowledged.
func (f *Flows) Finished() bool {
	for _, c := range f.all {
		if c.state == stateOpening || c.state == stateOpen && (!c.probeSent || c.acknowledged != c.sent) {
			return false
		}
	}
	return true
}

// Counts returns the results of the flows by service, in the order of the plan.
// A flow with a packet in flight counts as silent.
func (f *Flows) Counts() []ledger.FlowCounts {
	counts := make([]ledger.FlowCounts, len(f.plan.Services))
	for i, s := range f.plan.Services {
		counts[i].Service = s.Name
	}
	for _, c := range f.all {
		n := &counts[c.service]
		if c.established {
			n.Opened++
		}
		switch {
		case c.state == stateOpen && c.acknowledged == c.sent:
			n.Held++
		case c.state == stateOpen, c.state == stateSilent:
			n.Broken++
			n.Silent++
		case c.state == stateReset:
			n.Broken++
			n.Reset++
		default:
			n.Refused++
		}
	}
	return counts
}
