package host

import (
	"context"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/packet"
	"pimentospread/ring"
)

// flowTick is the period of the work of a shard that no packet causes. The
// shortest timeout of a decision is 200 ms.
const flowTick = 50 * time.Millisecond

// flowPacket is a packet of a flow on its way to its shard.
type flowPacket struct {
	packet flow.Packet
	raw    []byte
}

// flowShard is the duty that decides on the flows of one shard.
type flowShard struct {
	number   int
	clock    pimentospread.Clock
	decider  *dataplane.FlowShard
	packets  *ring.Ring[flowPacket]
	inbound  *ring.Ring[pimentospread.Inbound]
	views    *ring.Ring[*dataplane.View]
	control  *controlplane.Controller
	progress *ring.Ring[progress]
	out      *ring.Ring[datagram]
	peers    pimentospread.PeerNetwork
	drops    dropCounters
	actions  dataplane.FlowActions
	view     *dataplane.View
	// loaded is what the control duty was told last.
	loaded    controlplane.ViewLoaded
	left      bool
	recording recording
}

// progress tells the shutdown how far a decider has come.
type progress struct {
	decider int
	// done says that the host may stop as far as this decider is concerned.
	done bool
}

func (s *flowShard) run(ctx context.Context) error {
	ticker := time.NewTicker(flowTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-s.packets.Items():
			now := s.clock.Now()
			s.recording.packet(ctx, now, p)
			s.decider.HandlePacket(now, p.packet, p.raw, &s.actions)
		case m := <-s.inbound.Items():
			now := s.clock.Now()
			s.recording.inbound(ctx, now, m)
			s.decider.HandlePeerMessage(now, m, &s.actions)
		case v := <-s.views.Items():
			now := s.clock.Now()
			s.recording.view(ctx, now, v)
			s.configure(now, v)
		case <-ticker.C:
			now := s.clock.Now()
			s.recording.tick(ctx, now)
			s.decider.Tick(now, &s.actions)
		}
		s.carryOut(ctx)
		s.report(ctx)
	}
}

func (s *flowShard) configure(now time.Time, v *dataplane.View) {
	leaves := v.Leaving && (s.view == nil || !s.view.Leaving)
	s.view = v
	s.decider.Configure(now, v, &s.actions)
	if leaves {
		s.decider.StartHandover(now, &s.actions)
	}
}

func (s *flowShard) carryOut(ctx context.Context) {
	a := &s.actions
	for _, f := range a.Forwards {
		header := packet.Header{Service: f.Service, Destination: f.Target}
		_ = s.out.Put(ctx, datagram{header: header, packet: f.Packet, to: f.Address})
	}
	for _, d := range a.Deliveries {
		_ = s.out.Put(ctx, datagram{packet: d.Packet})
	}
	for _, r := range a.Resets {
		_ = s.out.Put(ctx, datagram{packet: r.Packet, reset: true})
	}
	for _, m := range a.PeerMessages {
		_ = s.peers.Send(ctx, m)
	}
	s.drops.add(a.Drops)
	a.Clear()
}

// report tells the control duty when the shard goes by a view, and the shutdown
// when the records are handed over.
func (s *flowShard) report(ctx context.Context) {
	if s.view == nil {
		return
	}
	loaded := controlplane.ViewLoaded{Worker: s.number, Sequence: s.view.Sequence}
	if s.decider.Prepared() {
		loaded.Prepared = s.view.Generation()
	}
	if loaded != s.loaded {
		s.loaded = loaded
		_ = s.control.ReportLoaded(ctx, loaded)
	}
	if s.view.Leaving && s.decider.HandoverDone() && !s.left {
		s.left = true
		_ = s.progress.Put(ctx, progress{decider: s.number, done: true})
	}
}
