package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/duty"
	"pimentospread/member"
	"pimentospread/pool"
	"pimentospread/ring"
)

const (
	eventCapacity  = 1024
	statusCapacity = 64
	// probeWorkers is the number of concurrent probes, so that targets that do not
	// answer do not delay the probes of the others.
	probeWorkers  = 8
	probeCapacity = 256
	// loadsPerWorker is far above the number of views that can be in flight to a worker.
	loadsPerWorker = 64
)

// Network sends messages to a configurable set of peers. peer.Network implements it.
type Network interface {
	pimentospread.PeerNetwork
	// SetPeers replaces the set of peers.
	SetPeers(ctx context.Context, peers map[pimentospread.HostID]netip.AddrPort) error
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Config Config
	// Cell is the name under which the platform stores the release and the roster.
	Cell     pimentospread.Cell
	Clock    pimentospread.Clock
	Platform pimentospread.Platform
	Network  Network
	Prober   pimentospread.Prober
	Decode   DecodeFunc
	// Inbox receives heartbeats and the messages of this package.
	Inbox *ring.Ring[pimentospread.Inbound]
	// Views has one ring for each data-plane worker, indexed by ViewLoaded.Worker. The
	// rings drop the oldest item because only the newest view is used.
	Views []*ring.Ring[*dataplane.View]
	// Reports receives the load reports of targets; it may be nil.
	Reports *ring.Ring[pimentospread.LoadReport]
	Metrics pimentospread.Metrics
	Log     *slog.Logger
}

// Controller runs a Cell in a duty of its own and performs the I/O for it.
type Controller struct {
	deps      Deps
	events    *ring.Ring[Event]
	viewLoads *ring.Ring[ViewLoaded]
	// statusRequests come from the administration API.
	statusRequests *ring.Ring[statusRequest]
	builds         *ring.Ring[*TableBuild]
	probes         []*ring.Ring[pool.Target]
	// latestView is the part of the state that other duties may read.
	latestView      atomic.Pointer[dataplane.View]
	invalidReleases pimentospread.Counter
}

// NewController returns a controller and registers its metrics. Run starts it.
func NewController(d Deps) *Controller {
	d.Config.Workers = len(d.Views)
	c := &Controller{
		deps:            d,
		events:          ring.New[Event](eventCapacity, ring.Block),
		viewLoads:       ring.New[ViewLoaded](loadsPerWorker*max(1, len(d.Views)), ring.DropOldest),
		builds:          ring.New[*TableBuild](1, ring.DropOldest),
		statusRequests:  ring.New[statusRequest](statusCapacity, ring.Refuse),
		invalidReleases: d.Metrics.Counter(`pimentospread_control_releases_invalid_total`),
	}
	for range probeWorkers {
		c.probes = append(c.probes, ring.New[pool.Target](probeCapacity, ring.DropOldest))
	}
	c.latestView.Store(&dataplane.View{})
	d.Metrics.Gauge("pimentospread_control_generation", func() float64 { return float64(c.latestView.Load().Generation()) })
	d.Metrics.Gauge("pimentospread_control_live_hosts", func() float64 { return float64(len(c.latestView.Load().LiveHosts)) })
	d.Metrics.Gauge("pimentospread_control_flagged_targets", func() float64 { return float64(len(c.latestView.Load().Flagged)) })
	return c
}

// Constructors returns the constructors of the message kinds that the controller handles.
func Constructors() map[pimentospread.MessageKind]func() pimentospread.Message {
	return map[pimentospread.MessageKind]func() pimentospread.Message{
		member.KindHeartbeat: func() pimentospread.Message { return &member.Heartbeat{} },
		KindReleaseQuery:     func() pimentospread.Message { return &ReleaseQuery{} },
		KindReleaseReply:     func() pimentospread.Message { return &ReleaseReply{} },
	}
}

// ReportLoaded records that a data-plane worker uses a view. It does not block.
func (c *Controller) ReportLoaded(ctx context.Context, e ViewLoaded) error {
	return c.viewLoads.Put(ctx, e)
}

// Leave starts the shutdown: the host stops being ready and its heartbeats report that it leaves.
func (c *Controller) Leave(ctx context.Context) error { return c.events.Put(ctx, Leave{}) }

// LatestView returns the newest view. Its release is nil until the first tables are built.
func (c *Controller) LatestView() *dataplane.View { return c.latestView.Load() }

// Run handles events until the context ends, then waits for all duties that it started.
func (c *Controller) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx, c.deps.Log)
	g.Go("control", func(ctx context.Context) error { return c.runCell(ctx, g) })
	g.Go("control build", c.runBuilds)
	for i, r := range c.probes {
		g.Go(fmt.Sprintf("control probe %d", i), func(ctx context.Context) error { return c.runProbes(ctx, r) })
	}
	return g.Wait()
}

func (c *Controller) runCell(ctx context.Context, g *duty.Group) error {
	cell := NewCell(c.deps.Clock.Now(), c.deps.Config)
	ticker := time.NewTicker(member.HeartbeatInterval)
	defer ticker.Stop()
	tasks := platformTasks{controller: c, group: g}
	for {
		var e Event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e = Tick{}
		case q := <-c.statusRequests.Items():
			_ = q.reply.Put(ctx, cell.Status(c.deps.Clock.Now()))
			continue
		case e = <-c.events.Items():
		case l := <-c.viewLoads.Items():
			e = l
		case m := <-c.deps.Inbox.Items():
			if e = c.decodeMessage(m); e == nil {
				continue
			}
		}
		a := cell.Handle(c.deps.Clock.Now(), e)
		tasks.apply(a)
		c.execute(ctx, a)
	}
}

// decodeMessage converts a message to an event. It returns nil for an invalid or unexpected message.
func (c *Controller) decodeMessage(in pimentospread.Inbound) Event {
	switch m := in.Message.(type) {
	case *member.Heartbeat:
		return HeartbeatReceived{From: in.From, Incarnation: in.Incarnation, Heartbeat: *m}
	case *ReleaseQuery:
		return QueryReceived{From: in.From, Query: *m}
	case *ReleaseReply:
		e := ReplyReceived{From: in.From, Reply: *m}
		if len(m.Content) == 0 {
			return e
		}
		packed, err := Unpack(m.Content, c.deps.Decode)
		if err != nil {
			c.invalidReleases.Add(1)
			c.deps.Log.Error("peer sent an invalid release", "peer", in.From, "error", err)
			return nil
		}
		e.PackedRelease = packed
		return e
	default:
		c.deps.Log.Error("unexpected message kind in the control plane", "peer", in.From, "kind", in.Message.MessageKind())
		return nil
	}
}

// execute carries out the actions that do not involve the platform. Errors of full
// rings are ignored: the ring counts them, and every action is repeated later or
// its loss is repaired.
func (c *Controller) execute(ctx context.Context, a Actions) {
	if a.Peers != nil {
		_ = c.deps.Network.SetPeers(ctx, a.Peers)
	}
	for _, m := range a.Messages {
		_ = c.deps.Network.Send(ctx, m)
	}
	if a.Build != nil {
		_ = c.builds.Put(ctx, a.Build)
	}
	if a.View != nil {
		c.publishView(ctx, a.View)
	}
	for _, t := range a.Probes {
		_ = c.probes[int(t.ID)%len(c.probes)].Put(ctx, t)
	}
	for _, r := range a.Reports {
		if c.deps.Reports != nil {
			_ = c.deps.Reports.Put(ctx, r)
		}
	}
	for _, n := range a.Anomalies {
		c.deps.Metrics.Counter(fmt.Sprintf("pimentospread_control_anomalies_total{kind=%q}", n)).Add(1)
		c.deps.Log.Warn("anomaly", "kind", n)
	}
}

func (c *Controller) publishView(ctx context.Context, v *dataplane.View) {
	last := c.latestView.Swap(v)
	if last.Generation() != v.Generation() || last.Active != v.Active || last.Ready != v.Ready {
		c.deps.Log.Info("view changed", "active", v.Active, "ready", v.Ready, "live", len(v.LiveHosts))
	}
	for _, r := range c.deps.Views {
		_ = r.Put(ctx, v)
	}
}

// runBuilds computes tables in a duty of its own, because that takes longer than a heartbeat may wait.
func (c *Controller) runBuilds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-c.builds.Items():
			_ = c.events.Put(ctx, b.Run())
		}
	}
}

// runProbes probes the targets of one ring, one at a time.
func (c *Controller) runProbes(ctx context.Context, r *ring.Ring[pool.Target]) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-r.Items():
			report, err := c.deps.Prober.Probe(ctx, t.HealthAddress)
			if err != nil {
				c.deps.Log.Debug("probe failed", "target", t.Name, "error", err)
			}
			_ = c.events.Put(ctx, TargetProbed{Target: t.ID, Report: report, Answered: err == nil})
		}
	}
}
