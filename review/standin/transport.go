package main

import "time"

// Timing of the ends of a flow, as PROTOCOL.md gives it.
const (
	window           = 16
	firstResend      = 200 * time.Millisecond
	longestResend    = 1600 * time.Millisecond
	serverMaxResends = 8
)

// segment is a packet of data that was sent and is not acknowledged yet.
type segment struct {
	seq      uint32
	data     []byte
	sentAt   time.Time
	interval time.Duration
	resends  int
}

// end is one end of an open flow: what it sent and what it has received in order.
type end struct {
	next     uint32 // sequence number of the next byte to send
	expected uint32 // sequence number of the next byte to receive
	unacked  []segment
	waiting  []byte // data beyond the window
	early    map[uint32][]byte
	received []byte
	pending  int // packets received since the last acknowledgement
}

func newEnd(next, expected uint32) *end {
	return &end{next: next, expected: expected, early: map[uint32][]byte{}}
}

// queue adds data to send.
func (e *end) queue(data []byte) { e.waiting = append(e.waiting, data...) }

// ready takes the segments that the window allows to send now.
func (e *end) ready(now time.Time) []segment {
	var out []segment
	for len(e.waiting) > 0 && len(e.unacked) < window {
		n := min(len(e.waiting), maxData)
		g := segment{seq: e.next, data: e.waiting[:n:n], sentAt: now, interval: firstResend}
		e.waiting, e.next = e.waiting[n:], e.next+uint32(n)
		e.unacked = append(e.unacked, g)
		out = append(out, g)
	}
	if len(out) > 0 {
		e.pending = 0
	}
	return out
}

// overdue takes the segments that are to be sent again. The count is the highest number of
// resends of any of them.
func (e *end) overdue(now time.Time) (out []segment, resends int) {
	for i := range e.unacked {
		g := &e.unacked[i]
		if now.Sub(g.sentAt) < g.interval {
			continue
		}
		g.sentAt, g.interval = now, min(2*g.interval, longestResend)
		g.resends++
		resends = max(resends, g.resends)
		out = append(out, *g)
	}
	return out, resends
}

// acknowledged drops the segments that the other end has received.
func (e *end) acknowledged(ack uint32) {
	kept := e.unacked[:0]
	for _, g := range e.unacked {
		if int32(g.seq+uint32(len(g.data))-ack) > 0 {
			kept = append(kept, g)
		}
	}
	e.unacked = kept
}

// receive takes a packet of data. It reports whether an acknowledgement is due: for every
// second packet, and at once for one that was received before or out of order.
func (e *end) receive(seq uint32, data []byte) bool {
	if len(data) == 0 {
		return false
	}
	if seq != e.expected {
		if int32(seq-e.expected) > 0 {
			e.early[seq] = data
		}
		e.pending = 0
		return true
	}
	for ok := true; ok; data, ok = e.early[e.expected] {
		delete(e.early, e.expected)
		e.received = append(e.received, data...)
		e.expected += uint32(len(data))
	}
	if e.pending++; e.pending < 2 {
		return false
	}
	e.pending = 0
	return true
}
