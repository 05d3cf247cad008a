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

// steering is the duty that receives packets, decides on them and forwards them. One
// duty does all three, so that a packet costs one wake-up and no copy. Package steer
// makes the decision.
type steering struct {
	socket   *udp.Socket
	clock    pimentospread.Clock
	views    *ring.Ring[*steer.View]
	steerer  *steer.Steerer
	counters *counters
	log      *slog.Logger
	// callerPort is the port to which resets for callers are sent.
	callerPort uint16
	// sampler selects the flows whose routine decisions are logged.
	sampler flowSampler
	// settings receives changed settings.
	settings *ring.Ring[settings.Settings]
	// started is the start time of the host.
	started time.Time
	// lastPacket is the time from the start to the last packet. The shutdown reads it. It
	// is relative, because the wall clock may jump.
	lastPacket atomic.Int64
	backlog    backlog
	lag        *lagMonitor
	buffer     platform.PacketBuffer
}

// run handles packets until the context ends.
func (s *steering) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		if err := s.socket.Close(); err != nil {
			s.log.Debug("cannot close socket", "error", err)
		}
	})
	defer stop()
	s.awaitFirstState(ctx)
	for {
		waiting := s.clock.Now()
		n, from, err := s.socket.Receive(s.buffer.ReceiveBuffer())
		if errorx.IsOfType(err, pimentospread.ErrClosed) {
			return nil
		}
		if err != nil {
			s.counters.receiveFailed.Add(1)
			s.log.Warn("cannot receive datagram", "peer", from, "error", err)
			continue
		}
		s.applyUpdates()
		now := s.clock.Now()
		s.backlog.received(waiting, now)
		s.handlePacket(now, n)
	}
}

// startupHold is how long packets wait in the socket of a starting host. With most hosts
// out of rotation, as after a power cut, the fabric sends packets to hosts that are not
// ready; a host has its first state after 0.1 to 0.2 s then. A caller whose packet is
// dropped sends it again up to 1.6 s later.
const startupHold = 300 * time.Millisecond

// awaitFirstState waits for a complete view before the first packet is received, for
// startupHold at most.
func (s *steering) awaitFirstState(ctx context.Context) {
	limit := time.NewTimer(startupHold)
	defer limit.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case v := <-s.views.Items():
			s.steerer.SetView(v)
			if v.Complete() {
				return
			}
		}
	}
}

// applyUpdates applies a new view and new settings, if any, without blocking: the
// steering duty blocks only on the socket. It runs once for each received packet, before
// the packet is handled, so that no packet is judged by an older view than the newest.
func (s *steering) applyUpdates() {
	select {
	case v := <-s.views.Items():
		s.steerer.SetView(v)
	default:
	}
	select {
	case n := <-s.settings.Items():
		s.sampler = newFlowSampler(pimentospread.FlowID(n.FlowLogShare))
		s.steerer.SetWeights(weights(n))
		s.steerer.SetLoadShedding(n.LoadShedding)
	default:
	}
}

// handlePacket decides on the received datagram of n bytes and sends the result.
func (s *steering) handlePacket(now time.Time, n int) {
	s.lastPacket.Store(int64(now.Sub(s.started)))
	p, err := s.buffer.Decode(n)
	if err != nil {
		s.counters.countMalformed(err)
		return
	}
	p.Delayed = s.backlog.possible(now) || s.lag.lagging(now)
	a := s.steerer.Steer(now, p)
	if p.Key.ID()%s.sampler.maxDivisor == 0 {
		s.counters.decisionTime.Update(s.clock.Now().Sub(now).Seconds())
	}
	s.counters.countAction(a)
	s.counters.pressures.update(now, s.steerer)
	s.logDecision(now, p, a)
	s.logSuspectedTargets(now)
	switch a.Kind {
	case steer.Forward:
		s.send(s.buffer.EncodeForTarget(a.Instance, p.Opens, a.Target), a.Address)
	case steer.Reset:
		s.send(s.buffer.EncodeReset(p), netip.AddrPortFrom(p.Key.Caller.Addr(), s.callerPort))
	}
}

// send sends a datagram and counts failures.
func (s *steering) send(datagram []byte, to netip.AddrPort) {
	if err := s.socket.Send(datagram, to); err != nil {
		s.counters.sendFailed.Add(1)
		s.log.Warn("cannot send datagram", "peer", to, "error", err)
	}
}

// logDecision logs the decisions that explain the history of a flow: for sampled flows
// the opening, the requests and the end, and for all flows every unusual decision.
func (s *steering) logDecision(now time.Time, p steer.Packet, a steer.Action) {
	routine := a.Kind == steer.Forward && (a.Cause == steer.CauseToken || a.Cause == steer.CauseLeastLoad) && p.Retransmissions == 0
	relevant := p.Opens || p.Ends || p.Resets || p.Length > 0
	if routine && (!relevant || !s.sampler.keep(now, p.Key.ID())) {
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
	if a.Kind == steer.Reset && a.Name != "" {
		attributes = append(attributes, slog.String("target", string(a.Name)), slog.String("program", pimentospread.ProgramVersion),
			slog.Int("callers", a.Evidence.Callers), slog.Int("copies", a.Evidence.Retransmissions), slog.Duration("silent", a.Evidence.Silence))
	}
	if a.Restarted {
		attributes = append(attributes, slog.Bool("restarted", true))
	}
	if v := s.steerer.View(); v != nil {
		attributes = append(attributes,
			slog.Uint64("configuration", uint64(v.Version)), slog.Uint64("revision", v.Revision.Revision()),
			slog.Duration("age", v.Age(now)), slog.Int("targets", v.Targets()))
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "flow", attributes...)
}

// logSuspectedTargets logs which targets stopped or resumed answering.
func (s *steering) logSuspectedTargets(now time.Time) {
	for _, c := range s.steerer.SuspicionChanges() {
		if !c.Suspected {
			s.log.Info("target answers again", "target", c.Target, "token", c.Token)
			continue
		}
		s.counters.suspicions.Add(1)
		s.log.Warn("target does not answer; it gets no new flows except trials", "target", c.Target, "token", c.Token, "packet", unansweredPacket(c), "silent", now.Sub(c.Since))
	}
}

// unansweredPacket returns the name in the log of the packet that began a suspicion.
func unansweredPacket(c steer.SuspicionChange) string {
	if c.Opening {
		return "open"
	}
	return "data"
}

// FlowName returns the name of a flow in the log: the caller's address and the service's.
func FlowName(k pimentospread.FlowKey) string { return k.Caller.String() + ">" + k.Service.String() }

// packetName returns the name of the type of a packet in the log.
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
