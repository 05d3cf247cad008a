// Package replay feeds a recorded trace to the deciders with the recorded
// times and counts what they decide against the stated outcomes.
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
	hosts    map[pimentospread.HostID]*player
	outcome  *tracker
}

// player is one incarnation of a host.
type player struct {
	id       pimentospread.HostID
	flows    []*dataplane.FlowShard
	requests *scheduling.Requests
	answers  answers
	// configurations are what each decider goes by.
	configurations []configuration
	flowOut        dataplane.FlowActions
	out            dataplane.RequestActions
}

// configuration is the release of a decider's last view, with its tables.
type configuration struct {
	release  *release.Release
	services map[pimentospread.ServiceID]*dataplane.ServiceView
	// active are the services of the last view by which new flows went.
	active    map[pimentospread.ServiceID]*dataplane.ServiceView
	addresses map[netip.AddrPort]pimentospread.ServiceID
	leaving   bool
}

// NewPlayer returns a player for messages of the given kinds.
func NewPlayer(registry peer.Registry) *Player {
	return &Player{registry: registry, hosts: map[pimentospread.HostID]*player{}, outcome: newTracker()}
}

// Play replays the events in order and returns the outcome.
func (p *Player) Play(events []trace.Event) (Outcome, error) {
	for _, e := range events {
		if err := p.take(e); err != nil {
			return Outcome{}, err
		}
	}
	return p.outcome.result(), nil
}

func (p *Player) take(e trace.Event) error {
	if e.Start != nil {
		p.hosts[e.Host] = newPlayer(e)
		return nil
	}
	h, ok := p.hosts[e.Host]
	if !ok {
		return pimentospread.At(pimentospread.ErrInvalid.New("event before the start of host %q", e.Host), "replay", string(e.Host))
	}
	if e.Worker < 0 || int(e.Worker) >= len(h.configurations) {
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has no decider %d", e.Host, e.Worker), "replay", string(e.Host))
	}
	if int(e.Worker) < len(h.flows) {
		return p.flow(h, e)
	}
	return p.request(h, e)
}

func newPlayer(e trace.Event) *player {
	h := &player{id: e.Host, answers: newAnswers(), configurations: make([]configuration, e.Start.FlowShards+1)}
	for i := range e.Start.FlowShards {
		h.flows = append(h.flows, dataplane.NewFlowShard(dataplane.FlowShardConfig{
			ShardIndex: i, ShardCount: e.Start.FlowShards, MaxFlows: e.Start.MaxFlows,
		}))
	}
	h.requests = scheduling.NewRequests(scheduling.RequestsDeps{
		Self: e.Host, Incarnation: e.Start.Incarnation, Started: e.At, Seed: e.Start.Seed,
	})
	return h
}

func (p *Player) flow(h *player, e trace.Event) error {
	d := h.flows[e.Worker]
	switch {
	case e.View != nil:
		v, leaves := h.configurations[e.Worker].view(h.id, e.View)
		d.Configure(e.At, v, &h.flowOut)
		if leaves {
			d.StartHandover(e.At, &h.flowOut)
		}
	case e.Packet != nil:
		d.HandlePacket(e.At, *e.Packet, encodePacket(*e.Packet), &h.flowOut)
	case e.Peer != nil:
		in, err := p.inbound(e)
		if err != nil {
			return err
		}
		d.HandlePeerMessage(e.At, in, &h.flowOut)
	default:
		d.Tick(e.At, &h.flowOut)
	}
	p.outcome.flowActions(h.configurations[e.Worker].services, &h.flowOut)
	h.flowOut.Clear()
	return nil
}

func (p *Player) request(h *player, e trace.Event) error {
	d := h.requests
	switch {
	case e.View != nil:
		v, leaves := h.configurations[e.Worker].view(h.id, e.View)
		d.Configure(e.At, v, &h.out)
		if leaves {
			d.Leave(e.At, &h.out)
		}
	case e.Request != nil:
		p.outcome.asked(*e.Request)
		d.HandleRequest(e.At, *e.Request, &h.out)
	case e.Attempt != nil:
		h.answers.recorded(*e.Attempt)
		return nil
	case e.Answer != nil:
		if a, ok := h.answers.translate(*e.Answer); ok {
			p.answer(h, e, a)
		}
	case e.Close != nil:
		d.Close(e.At, &h.out)
	case e.Report != nil:
		l := e.Report.LoadReport
		l.Target, l.At = e.Report.Target, e.Report.At
		d.HandleLoadReport(e.At, l)
	case e.Peer != nil:
		in, err := p.inbound(e)
		if err != nil {
			return err
		}
		d.HandlePeerMessage(e.At, in, &h.out)
	default:
		d.Tick(e.At, &h.out)
	}
	p.finish(h, e)
	return nil
}

func (p *Player) answer(h *player, e trace.Event, a request.Answer) {
	p.outcome.answered(a)
	h.requests.HandleAnswer(e.At, a, &h.out)
}

// finish counts the actions, and gives those attempts their answers that were
// answered earlier in the recording.
func (p *Player) finish(h *player, e trace.Event) {
	for {
		p.outcome.requestActions(&h.out)
		late := h.answers.sent(h.out.Attempts)
		h.out.Clear()
		if len(late) == 0 {
			return
		}
		for _, a := range late {
			p.answer(h, e, a)
		}
	}
}

// view makes the view that the decider had, with the tables of its release. It
// reports true for the first view with which the host leaves.
func (c *configuration) view(self pimentospread.HostID, v *trace.View) (*dataplane.View, bool) {
	if v.Release != nil {
		built := (&controlplane.TableBuild{Content: &controlplane.PackedRelease{Release: v.Release}, Services: c.active}).Run()
		c.release, c.services = v.Release, built.Services
		c.addresses = controlplane.IndexByAddress(c.services)
	}
	if v.Active {
		c.active = c.services
	}
	leaves := v.Leaving && !c.leaving
	c.leaving = v.Leaving
	return v.ToDataplane(self, c.release, c.services, c.addresses), leaves
}

func (p *Player) inbound(e trace.Event) (pimentospread.Inbound, error) {
	construct, ok := p.registry[e.Peer.Kind]
	if !ok {
		return pimentospread.Inbound{}, pimentospread.At(pimentospread.ErrInvalid.New("message kind %q is not known", e.Peer.Kind), "replay", string(e.Host))
	}
	m := construct()
	if err := json.Unmarshal(e.Peer.Body, m); err != nil {
		return pimentospread.Inbound{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "message %s cannot be read", e.Peer.Kind), "replay", string(e.Host))
	}
	return pimentospread.Inbound{From: e.Peer.From, Incarnation: e.Peer.Incarnation, Message: m}, nil
}
