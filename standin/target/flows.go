// Package target is a small stand-in of back-end targets: many of them in one
// process, each with a flow endpoint, a request endpoint and a health endpoint.
package target

import (
	"time"

	"pimentospread"
	"pimentospread/packet"
)

const (
	// window is the largest receive window without scaling.
	window = 1<<16 - 1
	// updateLength is the length of a board update.
	updateLength = 32
)

// Flows are the open flows of one target. It answers packets like a small TCP
// stack: in order only, with one update under way at a time.
type Flows struct {
	limit    pimentospread.Connections
	interval time.Duration
	open     map[pimentospread.FlowKey]*connection
	// order lists the open flows in the order of opening, so that updates do not
	// depend on the order of a map.
	order []pimentospread.FlowKey
	// Opened counts all flows that were accepted, and ResetsSent the answers to unknown ones.
	Opened, ResetsSent int
}

// connection is one open flow.
type connection struct {
	// initial is the sequence number of the caller's SYN, and expected the next one.
	initial, expected uint32
	// sent and acknowledged are the target's own sequence numbers; they differ while an update is under way.
	sent, acknowledged uint32
	nextUpdate         time.Time
	// silent flows get no answer any more.
	silent bool
}

// NewFlows returns an endpoint that holds up to limit flows and sends an
// update to each of them once in the interval.
func NewFlows(limit pimentospread.Connections, interval time.Duration) *Flows {
	return &Flows{limit: limit, interval: interval, open: map[pimentospread.FlowKey]*connection{}}
}

// Len returns the number of open flows.
func (f *Flows) Len() int { return len(f.open) }

// Receive appends the answers to a packet of a caller.
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

// accept opens a flow, or repeats the answer to the same SYN. Another SYN of
// an open flow only gets an acknowledgement (RFC 5961, section 4).
func (f *Flows) accept(now time.Time, key pimentospread.FlowKey, d packet.Datagram, answers []packet.Segment) []packet.Segment {
	c := f.open[key]
	switch {
	case c != nil && !c.silent && c.initial != d.Sequence:
		return append(answers, c.segment(key, packet.Flags{ACK: true}, nil))
	case c == nil && len(f.open) >= int(f.limit):
		f.ResetsSent++
		return append(answers, reset(d))
	case c == nil || c.silent:
		// The phase follows from the flow, so that updates spread over the interval.
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

// Silence makes all open flows silent for good. New flows work.
func (f *Flows) Silence() {
	for _, c := range f.open {
		c.silent = true
	}
}

// Updates appends an update for each flow that is due. An update that was not
// acknowledged is sent again instead of a new one.
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
			continue // the SYN was not acknowledged yet
		}
		if c.acknowledged == c.sent {
			c.sent += updateLength
		}
		s := c.segment(key, packet.Flags{ACK: true}, make([]byte, updateLength))
		s.Sequence = c.sent - updateLength
		updates = append(updates, s)
	}
	f.order = kept
	return updates
}

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
