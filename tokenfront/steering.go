package tokenfront

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/settings"
	"pimentospread/steer"
	"pimentospread/udp"
)

// steering is the duty that receives packets, decides on them and sends them
// on. One duty does all three, because a packet then costs one wake-up and no
// copy; the decision itself is in package steer.
type steering struct {
	socket   *udp.Socket
	clock    pimentospread.Clock
	views    *ring.Ring[*steer.View]
	steerer  *steer.Steerer
	counters *counters
	log      *slog.Logger
	// callerPort is the port of callers to which resets go.
	callerPort uint16
	// sample says of which flows usual decisions are logged.
	sample flowSample
	// settings carries changed settings.
	settings *ring.Ring[settings.Settings]
	// started is the start of the host. lastPacket is the time from then to the
	// last packet, for the shutdown; the time of day may jump.
	started    time.Time
	lastPacket atomic.Int64
	buffer     platform.PacketBuffer
}

func (s *steering) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		if err := s.socket.Close(); err != nil {
			s.log.Debug("socket not closed", "error", err)
		}
	})
	defer stop()
	for {
		n, from, err := s.socket.Receive(s.buffer.ReceiveBuffer())
		if errorx.IsOfType(err, pimentospread.ErrClosed) {
			return nil
		}
		if err != nil {
			s.counters.receiveFailed.Add(1)
			s.log.Warn("datagram not received", "peer", from, "error", err)
			continue
		}
		s.takeChanges()
		s.handle(n)
	}
}

// takeChanges takes the newest view and settings without waiting; the duty waits on the socket.
func (s *steering) takeChanges() {
	select {
	case v := <-s.views.Items():
		s.steerer.SetView(v)
	case n := <-s.settings.Items():
		s.sample = newFlowSample(pimentospread.FlowID(n.FlowLogShare))
		s.steerer.SetWeights(weights(n))
	default:
	}
}

func (s *steering) handle(n int) {
	now := s.clock.Now()
	s.lastPacket.Store(int64(now.Sub(s.started)))
	p, err := s.buffer.Decode(n)
	if err != nil {
		s.counters.malformed(err)
		return
	}
	a := s.steerer.Steer(now, p)
	if p.Key.ID()%s.sample.most == 0 {
		s.counters.decided.Update(s.clock.Now().Sub(now).Seconds())
	}
	s.counters.action(a)
	s.note(now, p, a)
	s.noteDoubts(now)
	switch a.Kind {
	case steer.Forward:
		s.send(s.buffer.EncodeForTarget(a.Instance, p.Opens, a.Target), a.Address)
	case steer.Reset:
		s.send(s.buffer.EncodeReset(p), netip.AddrPortFrom(p.Key.Caller.Addr(), s.callerPort))
	}
}

func (s *steering) send(datagram []byte, to netip.AddrPort) {
	if err := s.socket.Send(datagram, to); err != nil {
		s.counters.sendFailed.Add(1)
		s.log.Warn("datagram not sent", "peer", to, "error", err)
	}
}

// note logs the decisions that explain what became of a flow: the opening, the
// requests and the end of each flow of the sample, and every unusual one.
func (s *steering) note(now time.Time, p steer.Packet, a steer.Action) {
	usual := a.Kind == steer.Forward && (a.Cause == steer.CauseToken || a.Cause == steer.CauseLeastLoad) && p.Retransmissions == 0
	tells := p.Opens || p.Ends || p.Resets || p.Length > 0
	if usual && (!tells || !s.sample.take(now, p.Key.ID())) {
		return
	}
	attributes := []slog.Attr{
		slog.String("flow", FlowName(p.Key)), slog.String("packet", packetName(p)),
		slog.String("action", a.Kind.String()), slog.String("cause", string(a.Cause)),
		slog.Uint64("token", uint64(p.Token)),
	}
	if p.Length > 0 {
		if id := s.buffer.RequestID(); id != "" {
			attributes = append(attributes, slog.String("request", id))
		}
	}
	if a.Kind == steer.Forward {
		attributes = append(attributes, slog.String("target", string(a.Name)), slog.String("address", a.Address.String()))
	}
	if v := s.steerer.View(); v != nil {
		attributes = append(attributes,
			slog.Uint64("configuration", uint64(v.Version)), slog.Uint64("revision", uint64(v.Revision)),
			slog.Duration("age", v.Age(now)), slog.Int("targets", v.Targets()))
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "flow", attributes...)
}

// noteDoubts logs which targets fell silent or answered again.
func (s *steering) noteDoubts(now time.Time) {
	for _, c := range s.steerer.SuspicionChanges() {
		if !c.Suspected {
			s.log.Info("target answers again", "target", c.Target, "token", c.Token)
			continue
		}
		s.counters.doubts.Add(1)
		s.log.Warn("target left packets unanswered and gets no new flows", "target", c.Target, "token", c.Token, "silent", now.Sub(c.Since))
	}
}

// FlowName is the name of a flow in the log: the caller's address and the service's.
func FlowName(k pimentospread.FlowKey) string { return k.Caller.String() + ">" + k.Service.String() }

func packetName(p steer.Packet) string {
	switch {
	case p.Opens && p.Retransmissions > 0:
		return fmt.Sprintf("open, copy %d", p.Retransmissions)
	case p.Opens:
		return "open"
	case p.Resets:
		return "reset"
	case p.Ends:
		return "end"
	case p.Length > 0:
		return "data"
	default:
		return "ack"
	}
}
