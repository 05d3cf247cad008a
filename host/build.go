package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/url"
	"strconv"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/operator"
	"pimentospread/packet"
	"pimentospread/peer"
	"pimentospread/platform"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/request"
	"pimentospread/ring"
	"pimentospread/scheduling"
	"pimentospread/slo"
	"pimentospread/target"
	"pimentospread/trace"
)

const (
	// maxFlows is the largest number of flows in a shard. 79 million flows in cells
	// of 16 hosts are about 100,000 flows in a cell.
	maxFlows = 1 << 20
	// viewCapacity is the capacity of a ring of views. It exceeds the number of views
	// in one heartbeat interval; only the newest view matters.
	viewCapacity = 16
)

// build constructs the duties and the rings that connect them.
func (h *Host) build() error {
	base, err := url.Parse(h.settings.PlatformURL)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "PlatformURL is not a valid URL"), "build", "")
	}
	store := platform.NewClient(platform.Deps{BaseURL: base})
	peerKeys, err := h.openKeys()
	if err != nil {
		return err
	}
	route := h.newRouter()
	h.network = peer.NewNetwork(peer.Deps{
		Self: h.settings.Host, Incarnation: h.incarnation, Listener: h.sockets.peer,
		Registry: MessageRegistry(), Inbox: route, Metrics: h.metrics, Log: h.log,
		Keys: peerKeys,
	})
	views := h.newViewRings()
	reports := ring.New[pimentospread.LoadReport](h.settings.RingCapacity, ring.DropOldest)
	h.control = controlplane.NewController(controlplane.Deps{
		Config:   controlplane.Config{Self: h.self(), Incarnation: h.incarnation, Seeds: h.seeds()},
		Cell:     h.settings.Cell,
		Clock:    h.clock,
		Platform: store,
		Network:  h.network,
		Prober:   target.NewProber(target.Deps{Clock: h.clock, Timeout: h.settings.ProbeTimeout.Duration}),
		Decode:   release.Decode,
		Inbox:    route.control,
		Views:    views,
		Reports:  reports,
		Metrics:  h.metrics,
		Log:      h.log,
	})
	h.progress = ring.New[progress](viewCapacity*len(views), ring.Block)
	h.buildDataPath(route, views)
	h.buildRequests(route, views, reports)
	h.buildAdministration(views, store)
	return nil
}

func (h *Host) self() member.Host {
	return member.Host{
		ID: h.settings.Host, FailureDomain: h.settings.FailureDomain, State: member.Live,
		PeerAddress: addressOf(h.sockets.peer), AdminAddress: addressOf(h.sockets.admin),
		DataAddress: h.sockets.data.Address(),
	}
}

func (h *Host) seeds() []member.Host {
	var seeds []member.Host
	for _, s := range h.settings.Seeds {
		seeds = append(seeds, member.Host{ID: s.Host, PeerAddress: s.PeerAddress, State: member.Live})
	}
	return seeds
}

func (h *Host) newRouter() *router {
	capacity := h.settings.RingCapacity
	r := &router{
		control:      ring.New[pimentospread.Inbound](capacity, ring.DropOldest),
		requests:     ring.New[pimentospread.Inbound](capacity, ring.Refuse),
		requestKinds: map[pimentospread.MessageKind]bool{},
	}
	h.registerRefusals("control messages", r.control.Refused)
	h.registerRefusals("request messages", r.requests.Refused)
	for i := range h.settings.FlowShards {
		messages := ring.New[pimentospread.Inbound](capacity, ring.Refuse)
		h.registerRefusals("flow messages "+strconv.Itoa(i), messages.Refused)
		r.flows = append(r.flows, messages)
	}
	for _, kind := range request.Kinds() {
		r.requestKinds[kind] = true
	}
	return r
}

// newViewRings returns a ring of views for each flow shard, followed by those for
// the request processor and the query server.
func (h *Host) newViewRings() []*ring.Ring[*dataplane.View] {
	var views []*ring.Ring[*dataplane.View]
	for range h.settings.FlowShards + 2 {
		views = append(views, ring.New[*dataplane.View](viewCapacity, ring.DropOldest))
	}
	return views
}

func (h *Host) buildDataPath(route *router, views []*ring.Ring[*dataplane.View]) {
	capacity := h.settings.RingCapacity
	out := ring.New[outgoingPacket](capacity, ring.DropOldest)
	h.registerRefusals("send", out.Refused)
	h.sender = &sender{
		log: h.log, fabric: h.sockets.data, gateway: h.settings.FabricAddress, out: out,
		encoder: packet.NewEncoder(), failed: h.metrics.Counter(`pimentospread_send_failures_total{socket="data"}`),
	}
	for i := range h.settings.FlowShards {
		packets := ring.New[flowPacket](capacity, ring.Refuse)
		h.registerRefusals("packets "+strconv.Itoa(i), packets.Refused)
		h.shards = append(h.shards, &flowShard{
			workerIndex: i, clock: h.clock, packets: packets, inbound: route.flows[i], views: views[i],
			shard:   dataplane.NewFlowShard(dataplane.FlowShardConfig{ShardIndex: i, ShardCount: h.settings.FlowShards, MaxFlows: maxFlows}),
			control: h.control, progress: h.progress, out: out, peers: h.network, drops: newDropCounters(h.metrics),
			inputRecorder: inputRecorder{recorder: h.recorder, host: h.settings.Host, worker: trace.Worker(i)},
		})
	}
	requests := ring.NewPriorityRing[request.Request](requestRanks, capacity)
	for rank := range requests.Priorities() {
		h.registerRefusals("requests "+strconv.Itoa(rank), func() uint64 { return requests.Refused(rank) })
	}
	h.receiver = &receiver{
		fabric: h.sockets.data, shards: h.shards, requests: requests, out: out, log: h.log, metrics: h.metrics,
		views: ring.New[*dataplane.View](viewCapacity, ring.DropOldest), encoder: h.newReplyEncoder(),
	}
}

func (h *Host) newReplyEncoder() *replyEncoder {
	return &replyEncoder{coap: coap.NewEncoder(uint16(rand.Uint32())), packet: packet.NewEncoder(), log: h.log}
}

func (h *Host) buildRequests(route *router, views []*ring.Ring[*dataplane.View], reports *ring.Ring[pimentospread.LoadReport]) {
	capacity := h.settings.RingCapacity
	answers := ring.New[request.Answer](capacity, ring.Refuse)
	attempts := ring.New[targetMessage](capacity, ring.Block)
	h.registerRefusals("answers", answers.Refused)
	ended := ring.New[dataplane.CompletedRequest](capacity, ring.Refuse)
	h.registerRefusals("ended", ended.Refused)
	workerIndex := h.settings.FlowShards
	h.requestProcessor = &requestProcessor{
		workerIndex: workerIndex, clock: h.clock, requests: h.receiver.requests, answers: answers, inbound: route.requests,
		reports: reports, views: views[workerIndex], control: h.control, progress: h.progress,
		attempts: attempts, replies: h.sender.out, ended: ended, peers: h.network,
		closing: ring.New[struct{}](1, ring.DropOldest),
		encoder: h.newReplyEncoder(), drops: newDropCounters(h.metrics), outcomes: newOutcomeCounters(h.metrics),
		dispatcher: scheduling.NewDispatcher(scheduling.DispatcherDeps{
			Self: h.settings.Host, Incarnation: h.incarnation, Started: h.started,
			Seed: h.seed, Metrics: h.metrics,
		}),
		inputRecorder: inputRecorder{recorder: h.recorder, host: h.settings.Host, worker: trace.Worker(workerIndex)},
	}
	h.answers = &answerReceiver{socket: h.sockets.request, answers: answers, metrics: h.metrics, log: h.log}
	h.attempts = &attemptSender{
		log: h.log, socket: h.sockets.request, out: attempts, encoder: coap.NewEncoder(uint16(rand.Uint32())),
		failed: h.metrics.Counter(`pimentospread_send_failures_total{socket="request"}`),
	}
}

func (h *Host) buildAdministration(views []*ring.Ring[*dataplane.View], store pimentospread.Platform) {
	workerIndex := h.settings.FlowShards + 1
	h.queryServer = &queryServer{
		workerIndex: workerIndex, control: h.control, views: views[workerIndex], receiver: h.receiver.views,
		releaseQueries: ring.New[releaseQuery](h.settings.RingCapacity, ring.Refuse),
		clock:          h.clock, ended: h.requestProcessor.ended,
		burnQueries: ring.New[burnQuery](h.settings.RingCapacity, ring.Refuse),
		burn:        slo.NewRecorder(slo.RecorderDeps{Host: h.settings.Host}),
	}
	h.operator = operator.NewServer(operator.Deps{
		Log: h.log, Token: h.settings.AdminToken,
		Publisher: publish.New(publish.Deps{
			Platform: store, Clock: h.clock, Cell: h.settings.Cell, NewID: newPublishID, NewSeed: rand.Uint64,
			InForce: h.inForce,
		}),
		Release: h.queryServer.release,
		Status:  h.control.Status,
		Burn:    h.queryServer.hostBurn,
		Metrics: h.metrics.Write,
		Ready:   func(context.Context) bool { return h.control.LatestView().Ready },
	})
}

// inForce returns the newest release of this host, and the newest generation of all live hosts.
func (h *Host) inForce(ctx context.Context) (publish.InForce, error) {
	status, err := h.control.Status(ctx)
	if err != nil {
		return publish.InForce{}, err
	}
	newest := status.Generation
	for _, s := range status.Hosts {
		if s.Alive {
			newest = max(newest, s.Prepared)
		}
	}
	return publish.InForce{Release: h.control.LatestView().Release, Newest: newest}, nil
}

func newPublishID() pimentospread.PublishID {
	return pimentospread.PublishID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// registerRefusals registers the metric of the items that a ring has refused.
func (h *Host) registerRefusals(name string, read func() uint64) {
	h.metrics.Gauge(`pimentospread_ring_refused{ring="`+name+`"}`, func() float64 { return float64(read()) })
}

func addressOf(l net.Listener) netip.AddrPort {
	a := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
