package tokenfront

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/routing"
	"pimentospread/steer"
)

const (
	// listTimeout bounds a list. A slow platform answers in 0.24 s.
	listTimeout = 1500 * time.Millisecond
	// watchPace delays changes that follow each other. It is small against the
	// bounds of 3 s for drains and configurations.
	watchPace = 200 * time.Millisecond
	// relistInterval bounds how long a change stays unknown that a watch has missed.
	relistInterval = 15 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call. The last one
	// keeps a return of the platform from being noticed late.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// absentAfter is the silence of the platform after which entries may have
	// lapsed though their targets live. Entries lapse after three heartbeats,
	// 2.3 s, and a watch ends after a second.
	absentAfter = 2 * time.Second
	// tickInterval is how often ages are checked, and startInterval the same
	// while the host knows too little to take packets.
	tickInterval  = 250 * time.Millisecond
	startInterval = 50 * time.Millisecond
	// maxTargetLines bounds the log lines of one change of the list of targets. A
	// first list of 150 targets used up the lines of its second.
	maxTargetLines = 32
)

// belief is the duty that owns what the host believes of routes, targets and
// other hosts, and from where it hears changes.
type belief struct {
	clock     pimentospread.Clock
	log       *slog.Logger
	events    *ring.Ring[event]
	views     *ring.Ring[*steer.View]
	domain    pimentospread.FailureDomain
	table     *routing.Table
	directory *discovery.Directory
	// lineage says from whom the targets were heard.
	lineage   dissemination.SourceTracker
	contacts  map[pimentospread.ObjectKind]*contactState
	neighbors *neighbors
	// ready says that the host knows enough to take packets.
	ready atomic.Bool
	// summary is what the metrics show.
	summary atomic.Pointer[summary]
	// changed says that routes or targets changed since the last view.
	changed bool
	view    *steer.View
}

// contactState is how the platform answered for one kind of object.
type contactState struct {
	last time.Time
	lost bool
}

// summary is a copy of the state for metrics.
type summary struct {
	version   pimentospread.ConfigurationVersion
	revision  pimentospread.ObjectVersion
	targets   int
	confirmed time.Time
	source    dissemination.Choice
	hosts     int
	followers int
}

func (b *belief) run(ctx context.Context) error {
	// Connections to the seeds are there when the platform turns out to be away.
	b.neighbors.link(ctx, b.clock.Now())
	tick := time.NewTicker(startInterval)
	defer tick.Stop()
	for starting := true; ; {
		if starting && b.ready.Load() {
			starting = false
			tick.Reset(tickInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case e := <-b.events.Items():
			b.hear(ctx, e)
		case <-tick.C:
			now := b.clock.Now()
			b.tell(b.directory.Tick(now))
			b.neighbors.tick(ctx, now)
		}
		b.publish(ctx)
	}
}

func (b *belief) hear(ctx context.Context, e event) {
	switch e := e.(type) {
	case contact:
		b.hearContact(ctx, e)
	case configurationHeard:
		b.hearConfiguration(e.configuration)
	case targetsHeard:
		b.hearTargets(e)
	case hostsHeard:
		b.neighbors.hearHosts(ctx, b.clock.Now(), e.update)
	case message:
		b.hearMessage(ctx, e.inbound)
	case leaving:
		b.neighbors.leave(ctx)
	}
}

func (b *belief) hearContact(ctx context.Context, e contact) {
	c, ok := b.contacts[e.kind]
	if !ok {
		c = &contactState{last: e.at}
		b.contacts[e.kind] = c
	}
	switch {
	case e.err != nil:
		if !c.lost {
			c.lost = true
			b.log.Warn("platform lost", "kind", e.kind, "last_answer", e.at.Sub(c.last), "error", e.err)
		}
		b.neighbors.platformFailed(ctx, b.clock.Now())
	default:
		if c.lost {
			b.log.Info("platform back", "kind", e.kind, "away", e.at.Sub(c.last))
		}
		c.last, c.lost = e.at, false
		b.neighbors.platformHeard = e.at
		b.confirm(ctx)
	}
}

// confirm tells the selector up to when the platform has told everything.
func (b *belief) confirm(ctx context.Context) {
	routes, targets := b.contacts[platform.KindConfiguration], b.contacts[platform.KindTargets]
	if routes == nil || targets == nil || b.directory.Revision() == 0 || b.table.Version() == 0 {
		return
	}
	confirmed := routes.last
	if targets.last.Before(confirmed) {
		confirmed = targets.last
	}
	b.neighbors.platformAnswered(ctx, b.clock.Now(), confirmed)
}

func (b *belief) hearConfiguration(c pimentospread.Configuration) {
	held := b.table.Version()
	if !b.table.Put(c) {
		return
	}
	b.changed = true
	b.neighbors.relay.RecordConfiguration(c)
	b.log.Info("configuration in force", "configuration", c.Version, "before", held, "routes", len(c.Routes), "source", b.neighbors.source())
}

func (b *belief) hearTargets(e targetsHeard) {
	now := b.clock.Now()
	if b.directory.Revision() > 0 && now.Sub(b.neighbors.selector.Confirmed()) > absentAfter {
		b.directory.PlatformReturned(now)
	}
	b.apply(now, e.update)
	b.lineage.ReadPlatform(b.directory.Revision())
	for _, u := range e.unreadable {
		b.log.Warn("registration is not readable and names no target", "target", u.name, "revision", e.update.Revision, "error", u.reason)
	}
}

func (b *belief) apply(now time.Time, u discovery.Update) {
	before := b.directory.Digest()
	changes := b.directory.Apply(now, u)
	b.neighbors.relay.RecordTargets(before, changes)
	b.tell(changes)
}

// tell logs changes of belief about targets, the last ones of a long list as counts.
func (b *belief) tell(changes []discovery.Change) {
	if len(changes) == 0 {
		return
	}
	b.changed = true
	if rest := changes[min(maxTargetLines, len(changes)):]; len(rest) > 0 {
		changes = changes[:maxTargetLines]
		counts := map[discovery.Kind]int{}
		for _, c := range rest {
			counts[c.Kind]++
		}
		b.log.Info("more targets changed", "counts", counts, "revision", b.directory.Revision(), "source", b.neighbors.source())
	}
	for _, c := range changes {
		r := c.Registration
		b.log.Info("target "+string(c.Kind), "target", r.Name, "service", r.Service, "address", r.Address,
			"target_domain", r.FailureDomain, "born", r.Born, "token", r.Token(), "revision", b.directory.Revision(),
			"source", b.neighbors.source())
	}
}

// publish gives the steering duty and the subscribers what changed.
func (b *belief) publish(ctx context.Context) {
	now := b.clock.Now()
	b.neighbors.publish(ctx, now, b.changed, b.state())
	if b.changed {
		b.view = steer.NewView(b.domain, b.table, b.directory)
	}
	confirmed := b.neighbors.selector.Confirmed()
	if b.view == nil || !b.changed && confirmed.Equal(b.view.Confirmed) {
		return
	}
	b.changed = false
	b.view = b.view.WithRevision(b.directory.Revision(), confirmed)
	_ = b.views.Put(ctx, b.view)
	b.summary.Store(&summary{
		version: b.view.Version, revision: b.view.Revision, targets: b.view.Targets(), confirmed: confirmed,
		source: b.neighbors.selector.Choice(), hosts: len(b.neighbors.peers.All()), followers: len(b.neighbors.relay.Subscribers()),
	})
	if v := b.view; v.Version > 0 && v.Revision > 0 && !b.ready.Swap(true) {
		b.log.Info("host ready", "configuration", v.Version, "revision", v.Revision, "targets", v.Targets())
	}
}

// state is what subscribers may hear.
func (b *belief) state() dissemination.State {
	return dissemination.State{
		Directory: b.directory, Table: b.table, Peers: &b.neighbors.peers,
		Confirmed: b.neighbors.selector.Confirmed(), Path: b.neighbors.path,
	}
}

// hearMessage takes a message of another host.
func (b *belief) hearMessage(ctx context.Context, in pimentospread.Inbound) {
	switch m := in.Message.(type) {
	case *dissemination.Subscribe:
		b.neighbors.hearSubscribe(ctx, b.clock.Now(), in.From, m, b.state())
	case *dissemination.News:
		b.hearNews(ctx, in.From, m)
	default:
		b.log.Error("message is not for the belief duty", "peer", in.From, "kind", in.Message.MessageKind())
	}
}

// hearNews takes what another host knows. What does not fit onto the own
// belief is asked for again by the next subscription.
func (b *belief) hearNews(ctx context.Context, from pimentospread.HostID, m *dissemination.News) {
	now := b.clock.Now()
	if m.Leaves {
		b.neighbors.left(ctx, now, from)
		return
	}
	if now.Sub(b.neighbors.selector.Confirmed()) > absentAfter && b.directory.Revision() > 0 {
		b.directory.PlatformReturned(now)
	}
	b.directory.ExtendGrace(now, m.Grace)
	for _, u := range m.Updates {
		if b.lineage.Accept(from, u.Full, u.From, b.directory.Revision()) {
			b.apply(now, u)
		}
	}
	if m.Routes != nil {
		if c, ok := m.Routes.Apply(b.table.Configuration()); ok {
			b.hearConfiguration(c)
		}
	}
	b.neighbors.hearNews(ctx, now, from, m, b.state())
}
