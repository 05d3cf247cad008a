package peer

import (
	"fmt"

	"pimentospread"
)

// metrics counts bytes by kind of message, and what is refused by cause.
type metrics struct {
	bytesSent, bytesReceived map[pimentospread.MessageKind]pimentospread.Counter
	causes                   map[Cause]pimentospread.Counter
	drops                    map[string]pimentospread.Counter
}

func newMetrics(m pimentospread.Metrics, r Registry) *metrics {
	s := &metrics{
		bytesSent:     map[pimentospread.MessageKind]pimentospread.Counter{},
		bytesReceived: map[pimentospread.MessageKind]pimentospread.Counter{},
		causes:        map[Cause]pimentospread.Counter{},
		drops:         map[string]pimentospread.Counter{},
	}
	for kind := range r {
		s.bytesSent[kind] = m.Counter(fmt.Sprintf("peer_sent_bytes_total{kind=%q}", kind))
		s.bytesReceived[kind] = m.Counter(fmt.Sprintf("peer_received_bytes_total{kind=%q}", kind))
	}
	for _, c := range []Cause{CauseLength, CauseEnvelope, CauseKind, CauseBody, CauseInvalid} {
		s.causes[c] = m.Counter(fmt.Sprintf("peer_malformed_total{cause=%q}", c))
	}
	for _, c := range []string{"no_peer", "encode", "inbox", "unreachable"} {
		s.drops[c] = m.Counter(fmt.Sprintf("peer_dropped_total{cause=%q}", c))
	}
	return s
}

func (s *metrics) sent(kind pimentospread.MessageKind, n int) {
	if c, ok := s.bytesSent[kind]; ok {
		c.Add(n)
	}
}

func (s *metrics) received(kind pimentospread.MessageKind, n int) { s.bytesReceived[kind].Add(n) }

func (s *metrics) malformed(c Cause) { s.causes[c].Add(1) }

func (s *metrics) dropped(cause string) { s.drops[cause].Add(1) }
