package peer

import (
	"fmt"

	"pimentospread"
	"pimentospread/keys"
)

// metrics counts bytes by message kind, and drops, malformed frames and refused
// connections by cause.
type metrics struct {
	bytesSent, bytesReceived map[pimentospread.MessageKind]pimentospread.Counter
	malformedFrames          map[Cause]pimentospread.Counter
	drops                    map[string]pimentospread.Counter
	// refused counts failed handshakes by the side of this host.
	refused    map[side]map[keys.Cause]pimentospread.Counter
	handshakes map[side]pimentospread.Counter
}

// side is the role of this host in a connection.
type side string

const (
	accepting side = "accept"
	dialing   side = "dial"
)

func newMetrics(m pimentospread.Metrics, r Registry) *metrics {
	s := &metrics{
		bytesSent:       map[pimentospread.MessageKind]pimentospread.Counter{},
		bytesReceived:   map[pimentospread.MessageKind]pimentospread.Counter{},
		malformedFrames: map[Cause]pimentospread.Counter{},
		drops:           map[string]pimentospread.Counter{},
		refused:         map[side]map[keys.Cause]pimentospread.Counter{},
		handshakes:      map[side]pimentospread.Counter{},
	}
	for _, d := range []side{accepting, dialing} {
		s.handshakes[d] = m.Counter(fmt.Sprintf("pimentospread_peer_handshakes_total{side=%q}", d))
		s.refused[d] = map[keys.Cause]pimentospread.Counter{}
		for _, c := range keys.Causes() {
			s.refused[d][c] = m.Counter(fmt.Sprintf("pimentospread_peer_refused_connections_total{side=%q,cause=%q}", d, c))
		}
	}
	for kind := range r {
		s.bytesSent[kind] = m.Counter(fmt.Sprintf("pimentospread_peer_sent_bytes_total{kind=%q}", kind))
		s.bytesReceived[kind] = m.Counter(fmt.Sprintf("pimentospread_peer_received_bytes_total{kind=%q}", kind))
	}
	for _, c := range []Cause{CauseLength, CauseEnvelope, CauseKind, CauseBody, CauseInvalid, CauseSender} {
		s.malformedFrames[c] = m.Counter(fmt.Sprintf("pimentospread_peer_malformed_total{cause=%q}", c))
	}
	for _, c := range []string{"no_peer", "encode", "inbox", "unreachable"} {
		s.drops[c] = m.Counter(fmt.Sprintf("pimentospread_peer_dropped_total{cause=%q}", c))
	}
	return s
}

func (s *metrics) sent(kind pimentospread.MessageKind, n int) {
	if c, ok := s.bytesSent[kind]; ok {
		c.Add(n)
	}
}

func (s *metrics) received(kind pimentospread.MessageKind, n int) { s.bytesReceived[kind].Add(n) }

func (s *metrics) malformed(c Cause) { s.malformedFrames[c].Add(1) }

// handshake counts a completed handshake, or a failed one by the cause in err.
func (s *metrics) handshake(d side, err error) {
	if err != nil {
		s.refused[d][keys.CauseOf(err)].Add(1)
		return
	}
	s.handshakes[d].Add(1)
}

func (s *metrics) dropped(cause string) { s.drops[cause].Add(1) }
