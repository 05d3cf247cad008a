// Package replay feeds recorded traces to the data-plane workers at the recorded
// times and counts the outcomes of their decisions.
package replay

import (
	"encoding/json"
	"net/netip"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/peer"
	"pimentospread/release"
	"pimentospread/request"
	"pimentospread/scheduling"
	"pimentospread/trace"
)

// Player replays the events of the hosts of one cell.
type Player struct {
	registry peer.Registry
	hosts    map[pimentospread.HostID]*replayedHost
	outcome  *tracker
}

// replayedHost holds the data-plane workers of one incarnation of a host.
type replayedHost struct {
	id           pimentospread.HostID
	flowShards   []*dataplane.FlowShard
	dispatcher   *scheduling.Dispatcher
	answerMapper answerMapper
	// configurations holds the configuration of each worker, by its index.
	configurations []workerConfiguration
	flowActions    dataplane.FlowActions
	requestActions dataplane.RequestActions
}

// workerConfiguration is the release of a worker's last view, with the tables that
// are built from it.
type workerConfiguration struct {
	release  *release.Release
	services map[pimentospread.ServiceID]*dataplane.ServiceView
	// activeServices are the services of the last view that was active for new flows.
	activeServices   map[pimentospread.ServiceID]*dataplane.ServiceView
	serviceByAddress map[netip.AddrPort]pimentospread.ServiceID
	leaving          bool
}

// NewPlayer returns a player that decodes the peer messages of the registry.
func NewPlayer(registry peer.Registry) *Player {
	return &Player{registry: registry, hosts: map[pimentospread.HostID]*replayedHost{}, outcome: newTracker()}
}

// Play replays the events in order and returns the outcome.
func (p *Player) Play(events []trace.Event) (Outcome, error) {
	for _, e := range events {
		if err := p.apply(e); err != nil {
			return Outcome{}, err
		}
	}
	return p.outcome.result(), nil
}

func (p *Player) apply(e trace.Event) error {
	if e.Start != nil {
		p.hosts[e.Host] = newReplayedHost(e)
		return nil
	}
	h, ok := p.hosts[e.Host]
	if !ok {
		return pimentospread.At(pimentospread.ErrInvalid.New("event of host %q precedes its start event", e.Host), "replay", string(e.Host))
	}
	if e.Worker < 0 || int(e.Worker) >= len(h.configurations) {
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has no worker %d", e.Host, e.Worker), "replay", string(e.Host))
	}
	if int(e.Worker) < len(h.flowShards) {
		return p.applyFlowEvent(h, e)
	}
	return p.applyRequestEvent(h, e)
}

func newReplayedHost(e trace.Event) *replayedHost {
	h := &replayedHost{id: e.Host, answerMapper: newAnswerMapper(), configurations: make([]workerConfiguration, e.Start.FlowShards+1)}
	for i := range e.Start.FlowShards {
		h.flowShards = append(h.flowShards, dataplane.NewFlowShard(dataplane.FlowShardConfig{
			ShardIndex: i, ShardCount: e.Start.FlowShards, MaxFlows: e.Start.MaxFlows,
		}))
	}
	h.dispatcher = scheduling.NewDispatcher(scheduling.DispatcherDeps{
		Self: e.Host, Incarnation: e.Start.Incarnation, Started: e.At, Seed: e.Start.Seed,
	})
	return h
}

func (p *Player) applyFlowEvent(h *replayedHost, e trace.Event) error {
	shard := h.flowShards[e.Worker]
	switch {
	case e.View != nil:
		view, startsLeaving := h.configurations[e.Worker].apply(h.id, e.View)
		shard.Configure(e.At, view, &h.flowActions)
		if startsLeaving {
			shard.StartHandover(e.At, &h.flowActions)
		}
	case e.Packet != nil:
		shard.HandlePacket(e.At, *e.Packet, encodePacket(*e.Packet), &h.flowActions)
	case e.Peer != nil:
		in, err := p.decodePeerMessage(e)
		if err != nil {
			return err
		}
		shard.HandlePeerMessage(e.At, in, &h.flowActions)
	default:
		shard.Tick(e.At, &h.flowActions)
	}
	p.outcome.addFlowActions(h.configurations[e.Worker].services, &h.flowActions)
	h.flowActions.Clear()
	return nil
}

func (p *Player) applyRequestEvent(h *replayedHost, e trace.Event) error {
	dispatcher := h.dispatcher
	switch {
	case e.View != nil:
		view, startsLeaving := h.configurations[e.Worker].apply(h.id, e.View)
		dispatcher.Configure(e.At, view, &h.requestActions)
		if startsLeaving {
			dispatcher.StartLeaving(e.At, &h.requestActions)
		}
	case e.Request != nil:
		p.outcome.addRequest(*e.Request)
		dispatcher.HandleRequest(e.At, *e.Request, &h.requestActions)
	case e.Attempt != nil:
		h.answerMapper.addRecorded(*e.Attempt)
		return nil
	case e.Answer != nil:
		if answer, ok := h.answerMapper.translate(*e.Answer); ok {
			p.applyAnswer(h, e, answer)
		}
	case e.Close != nil:
		dispatcher.Close(e.At, &h.requestActions)
	case e.Report != nil:
		report := e.Report.LoadReport
		report.Target, report.At = e.Report.Target, e.Report.At
		dispatcher.HandleLoadReport(e.At, report)
	case e.Peer != nil:
		in, err := p.decodePeerMessage(e)
		if err != nil {
			return err
		}
		dispatcher.HandlePeerMessage(e.At, in, &h.requestActions)
	default:
		dispatcher.Tick(e.At, &h.requestActions)
	}
	p.applyRequestActions(h, e)
	return nil
}

func (p *Player) applyAnswer(h *replayedHost, e trace.Event, answer request.Answer) {
	p.outcome.addAnswer(answer)
	h.dispatcher.HandleAnswer(e.At, answer, &h.requestActions)
}

// applyRequestActions counts the actions of the request dispatcher. It also applies
// the pending answers: the recording may answer a request before the replay makes
// the attempt.
func (p *Player) applyRequestActions(h *replayedHost, e trace.Event) {
	for {
		p.outcome.addRequestActions(&h.requestActions)
		answers := h.answerMapper.addAttempts(h.requestActions.Attempts)
		h.requestActions.Clear()
		if len(answers) == 0 {
			return
		}
		for _, answer := range answers {
			p.applyAnswer(h, e, answer)
		}
	}
}

// apply returns the view that the worker received, with the tables of its release,
// and whether it is the first view in which the host is leaving.
func (c *workerConfiguration) apply(self pimentospread.HostID, v *trace.View) (*dataplane.View, bool) {
	if v.Release != nil {
		built := (&controlplane.TableBuild{PackedRelease: &controlplane.PackedRelease{Release: v.Release}, Services: c.activeServices}).Run()
		c.release, c.services = v.Release, built.Services
		c.serviceByAddress = controlplane.IndexByAddress(c.services)
	}
	if v.Active {
		c.activeServices = c.services
	}
	startsLeaving := v.Leaving && !c.leaving
	c.leaving = v.Leaving
	return v.ToDataplane(self, c.release, c.services, c.serviceByAddress), startsLeaving
}

func (p *Player) decodePeerMessage(e trace.Event) (pimentospread.Inbound, error) {
	construct, ok := p.registry[e.Peer.Kind]
	if !ok {
		return pimentospread.Inbound{}, pimentospread.At(pimentospread.ErrInvalid.New("unknown kind of peer message %q", e.Peer.Kind), "replay", string(e.Host))
	}
	m := construct()
	if err := json.Unmarshal(e.Peer.Body, m); err != nil {
		return pimentospread.Inbound{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot decode peer message of kind %s", e.Peer.Kind), "replay", string(e.Host))
	}
	return pimentospread.Inbound{From: e.Peer.From, Incarnation: e.Peer.Incarnation, Message: m}, nil
}
