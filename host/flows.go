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

// flowTick is the interval between timer events of a shard. It is below 200 ms, the
// shortest timeout in the decisions about flows.
const flowTick = 50 * time.Millisecond

// flowPacket is a packet of a flow that is queued for its shard.
type flowPacket struct {
	packet flow.Packet
	// raw is the inner IP packet.
	raw []byte
}

// flowShard is the duty that forwards the packets of the flows of one shard and
// exchanges the records of these flows with other hosts.
type flowShard struct {
	// workerIndex is the index of the worker in its reports and in the trace.
	workerIndex int
	clock       pimentospread.Clock
	shard       *dataplane.FlowShard
	packets     *ring.Ring[flowPacket]
	inbound     *ring.Ring[pimentospread.Inbound]
	views       *ring.Ring[*dataplane.View]
	control     *controlplane.Controller
	progress    *ring.Ring[progress]
	out         *ring.Ring[outgoingPacket]
	peers       pimentospread.PeerNetwork
	drops       dropCounters
	actions     dataplane.FlowActions
	view        *dataplane.View
	// loaded is the last report to the control duty.
	loaded controlplane.ViewLoaded
	// handedOver is true once the end of the handover was reported to the shutdown.
	handedOver    bool
	inputRecorder inputRecorder
}

// progress reports to the shutdown whether a worker has work in progress.
type progress struct {
	worker int
	// done is true if the worker has nothing left for which the host must keep running.
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
			s.inputRecorder.packet(ctx, now, p)
			s.shard.HandlePacket(now, p.packet, p.raw, &s.actions)
		case m := <-s.inbound.Items():
			now := s.clock.Now()
			s.inputRecorder.inbound(ctx, now, m)
			s.shard.HandlePeerMessage(now, m, &s.actions)
		case v := <-s.views.Items():
			now := s.clock.Now()
			s.inputRecorder.view(ctx, now, v)
			s.configure(now, v)
		case <-ticker.C:
			now := s.clock.Now()
			s.inputRecorder.tick(ctx, now)
			s.shard.Tick(now, &s.actions)
		}
		s.applyActions(ctx)
		s.report(ctx)
	}
}

func (s *flowShard) configure(now time.Time, v *dataplane.View) {
	startsLeaving := v.Leaving && (s.view == nil || !s.view.Leaving)
	s.view = v
	s.shard.Configure(now, v, &s.actions)
	if startsLeaving {
		s.shard.StartHandover(now, &s.actions)
	}
}

func (s *flowShard) applyActions(ctx context.Context) {
	a := &s.actions
	for _, f := range a.Forwards {
		header := packet.Header{Service: f.Service, Destination: f.Target}
		_ = s.out.Put(ctx, outgoingPacket{header: header, packet: f.Packet, to: f.Address})
	}
	for _, d := range a.Deliveries {
		_ = s.out.Put(ctx, outgoingPacket{packet: d.Packet})
	}
	for _, r := range a.Resets {
		_ = s.out.Put(ctx, outgoingPacket{packet: r.Packet, reset: true})
	}
	for _, m := range a.PeerMessages {
		_ = s.peers.Send(ctx, m)
	}
	s.drops.add(a.Drops)
	a.Clear()
}

// report notifies the control duty when the shard applies a new view or is prepared
// for it, and the shutdown when the records of a leaving host are handed over.
func (s *flowShard) report(ctx context.Context) {
	if s.view == nil {
		return
	}
	loaded := controlplane.ViewLoaded{Worker: s.workerIndex, Sequence: s.view.Sequence}
	if s.shard.Prepared() {
		loaded.Prepared = s.view.Generation()
	}
	if loaded != s.loaded {
		s.loaded = loaded
		_ = s.control.ReportLoaded(ctx, loaded)
	}
	if s.view.Leaving && s.shard.HandoverDone() && !s.handedOver {
		s.handedOver = true
		_ = s.progress.Put(ctx, progress{worker: s.workerIndex, done: true})
	}
}
