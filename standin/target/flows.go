// Package target implements stand-ins for the targets of the load balancer. A
// process runs several of them, each with a flow endpoint, a request endpoint and a
// health endpoint.
package target

import (
	"time"

	"pimentospread"
	"pimentospread/packet"
)

const (
	// window is the largest TCP receive window without window scaling.
	window = 1<<16 - 1
	// updateSize is the payload size of an update, in bytes.
	updateSize = 32
)

// Flows holds the open flows of a target. It answers packets like a minimal TCP
// stack: it accepts data in order only, and sends one update at a time.
type Flows struct {
	limit    pimentospread.Connections
	interval time.Duration
	open     map[pimentospread.FlowKey]*connection
	// order lists the open flows in the order of opening, so that the order of
	// updates does not depend on map iteration.
	order []pimentospread.FlowKey
	// Opened counts all accepted flows, and ResetsSent the resets that answered
	// packets of unknown flows or SYNs above the limit.
	Opened, ResetsSent int
}

// connection is one open flow.
type connection struct {
	// initial is the sequence number of the caller's SYN, and expected that of the
	// next data.
	initial, expected uint32
	// sent and acknowledged are sequence numbers of the target. They differ while an
	// update is in flight.
	sent, acknowledged uint32
	nextUpdate         time.Time
	// silent is set for a flow whose packets are no longer answered.
	silent bool
}

// NewFlows returns a flow endpoint that holds up to limit flows and sends an
// update on each of them once per interval.
func NewFlows(limit pimentospread.Connections, interval time.Duration) *Flows {
	return &Flows{limit: limit, interval: interval, open: map[pimentospread.FlowKey]*connection{}}
}

// Len returns the number of open flows.
func (f *Flows) Len() int { return len(f.open) }

// Receive handles a packet of a caller and appends the answers to it.
func (f *Flows) Receive(now time.Time, d packet.Datagram, answers []packet.Segment) []packet.Segment {
	key := d.FlowPacket().Key
	c := f.open[key]
	switch {
	case d.Flags.RST:
		delete(f.open, key)
		return answers
	case d.Flags.SYN && !d.Flags.ACK:
		return f.accept(now, key, d, answers)
	case c == nil:
		f.ResetsSent++
		return append(answers, reset(d))
	case c.silent:
		return answers
	}
	if d.Flags.ACK && d.Acknowledgement == c.sent {
		c.acknowledged = c.sent
	}
	length := d.SequenceLength()
	if length == 0 {
		return answers
	}
	if d.Sequence == c.expected {
		c.expected += length
		if d.Flags.FIN {
			delete(f.open, key)
			return append(answers, c.segment(key, packet.Flags{ACK: true, FIN: true}, nil))
		}
	}
	return append(answers, c.segment(key, packet.Flags{ACK: true}, nil))
}

// accept opens a flow, or repeats the answer to the same SYN. A different SYN for
// an open flow is answered with an acknowledgement only (RFC 5961, section 4).
func (f *Flows) accept(now time.Time, key pimentospread.FlowKey, d packet.Datagram, answers []packet.Segment) []packet.Segment {
	c := f.open[key]
	switch {
	case c != nil && !c.silent && c.initial != d.Sequence:
		return append(answers, c.segment(key, packet.Flags{ACK: true}, nil))
	case c == nil && len(f.open) >= int(f.limit):
		f.ResetsSent++
		return append(answers, reset(d))
	case c == nil || c.silent:
		// The phase is derived from the flow ID, which spreads updates over the interval.
		id := key.ID()
		first := uint32(id)
		phase := time.Duration(uint64(id) % uint64(f.interval))
		c = &connection{
			initial: d.Sequence, expected: d.Sequence + 1,
			sent: first + 1, acknowledged: first, nextUpdate: now.Add(phase),
		}
		if f.open[key] == nil {
			f.order = append(f.order, key)
		}
		f.open[key] = c
		f.Opened++
	}
	s := c.segment(key, packet.Flags{SYN: true, ACK: true}, nil)
	s.Sequence, s.Acknowledgement = uint32(key.ID()), c.initial+1
	return append(answers, s)
}

// Silence permanently stops answers on all open flows. New flows are answered.
func (f *Flows) Silence() {
	for _, c := range f.open {
		c.silent = true
	}
}

// Updates appends an update for each flow that is due. An unacknowledged update
// is sent again instead of a new one.
func (f *Flows) Updates(now time.Time, updates []packet.Segment) []packet.Segment {
	kept := f.order[:0]
	for _, key := range f.order {
		c := f.open[key]
		if c == nil {
			continue
		}
		kept = append(kept, key)
		if c.silent || now.Before(c.nextUpdate) {
			continue
		}
		c.nextUpdate = now.Add(f.interval)
		if c.acknowledged == uint32(key.ID()) {
			continue // the caller has not acknowledged the SYN yet
		}
		if c.acknowledged == c.sent {
			c.sent += updateSize
		}
		s := c.segment(key, packet.Flags{ACK: true}, make([]byte, updateSize))
		s.Sequence = c.sent - updateSize
		updates = append(updates, s)
	}
	f.order = kept
	return updates
}

// segment returns a segment with the current sequence numbers of the flow.
func (c *connection) segment(key pimentospread.FlowKey, flags packet.Flags, payload []byte) packet.Segment {
	return packet.Segment{
		From: key.Service, To: key.Caller, Sequence: c.sent, Acknowledgement: c.expected,
		Flags: flags, Window: window, Payload: payload,
	}
}

// reset answers a packet of an unknown flow as a kernel does (RFC 9293, section 3.10.7.1).
func reset(d packet.Datagram) packet.Segment {
	s := packet.Segment{From: d.To, To: d.From, Flags: packet.Flags{RST: true}}
	if d.Flags.ACK {
		s.Sequence = d.Acknowledgement
		return s
	}
	s.Flags.ACK = true
	s.Acknowledgement = d.Sequence + d.SequenceLength()
	return s
}
