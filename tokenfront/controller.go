package tokenfront

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/evacuation"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/routing"
	"pimentospread/steer"
)

const (
	// listTimeout is the timeout of a list request. A slow platform responds in 0.24 s.
	listTimeout = 1500 * time.Millisecond
	// watchMinInterval is the minimum time from a watch that returned a change to the next
	// one. It is small compared to the limits of 3 s for drains and configurations.
	watchMinInterval = 200 * time.Millisecond
	// relistInterval limits how long a change that a watch has missed goes unnoticed.
	relistInterval = 15 * time.Second
	// minRetryPause is the first pause after a failed call. It doubles up to
	// maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	// maxRetryPause is low enough to detect soon that the platform is available again.
	maxRetryPause = 500 * time.Millisecond
	// outageThreshold is the length of a platform outage after which registrations may
	// have expired although their targets are alive. Registrations expire after three
	// heartbeats, 2.3 s, and a watch ends after a second.
	outageThreshold = 2 * time.Second
	// tickInterval is the interval at which ages and timeouts are checked.
	tickInterval = 250 * time.Millisecond
	// startupTickInterval replaces tickInterval until the host is ready.
	startupTickInterval = 50 * time.Millisecond
	// maxTargetLogLines limits the log lines about one update of the targets. The first
	// list of 150 targets used up the line budget of its second.
	maxTargetLogLines = 32
)

// controller is the duty that owns the state of routes, targets and other hosts, and
// selects the source of updates.
type controller struct {
	clock         pimentospread.Clock
	log           *slog.Logger
	events        *ring.Ring[event]
	views         *ring.Ring[*steer.View]
	failureDomain pimentospread.FailureDomain
	table         *routing.Table
	directory     *discovery.Directory
	// evacuations is nil if this host does not watch them.
	evacuations *evacuation.Set
	// targetsSource tracks the source of the state of the targets.
	targetsSource dissemination.SourceTracker
	contacts      map[pimentospread.ObjectKind]*platformContact
	exchange      *peerExchange
	lag           *lagMonitor
	// ignoredUpdates counts updates of the targets that were not applied, and ignoring is
	// set while the last one from the platform was not. Its answers then confirm nothing.
	ignoredUpdates pimentospread.Counter
	ignoring       bool
	// ignoringEvacuations is the same for evacuations.
	ignoringEvacuations bool
	// ready is set once the host can handle packets.
	ready atomic.Bool
	// summary is the state that the metrics report.
	summary atomic.Pointer[summary]
	// changed is set if routes or targets changed since the last view.
	changed bool
	view    *steer.View
}

// platformContact tracks the availability of the platform for one kind of object.
type platformContact struct {
	lastAnswer  time.Time
	unavailable bool
}

// summary is a copy of the state for the metrics.
type summary struct {
	version   pimentospread.ConfigurationVersion
	revision  pimentospread.ObjectVersion
	targets   int
	confirmed time.Time
	sources   dissemination.Sources
	hosts     int
	// evacuated is the number of evacuated failure domains.
	evacuated int
	followers int
}

// run handles events until the context ends.
func (ctl *controller) run(ctx context.Context) error {
	interval := startupTickInterval
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if interval != tickInterval && ctl.ready.Load() {
			interval = tickInterval
			tick.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return nil
		case e := <-ctl.events.Items():
			ctl.handle(ctx, e)
		case <-tick.C:
			now := ctl.clock.Now()
			ctl.lag.ticked(now, interval)
			ctl.recordChanges(ctl.directory.Tick(now, ctl.exchange.selector.Confirmed()))
			if ctl.evacuations != nil {
				ctl.recordEvacuations(ctl.evacuations.Tick(now))
			}
			ctl.exchange.tick(ctx, now)
		}
		ctl.publish(ctx)
	}
}

// handle dispatches an event.
func (ctl *controller) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case platformResult:
		ctl.handlePlatformResult(ctx, e)
	case configurationUpdate:
		ctl.applyConfiguration(e.configuration)
	case targetsUpdate:
		ctl.handleTargets(e)
	case evacuationsUpdate:
		ctl.handleEvacuations(e.update)
	case hostsUpdate:
		ctl.exchange.handleHosts(ctx, ctl.clock.Now(), e.update)
	case peerMessage:
		ctl.handleMessage(ctx, e.inbound)
	case shutdownStarted:
		ctl.exchange.announceLeave(ctx)
	case steeringEnded:
		ctl.exchange.leaveSource(ctx)
	}
}

// handlePlatformResult updates the availability of the platform.
func (ctl *controller) handlePlatformResult(ctx context.Context, e platformResult) {
	c, ok := ctl.contacts[e.kind]
	if !ok {
		c = &platformContact{lastAnswer: e.at}
		ctl.contacts[e.kind] = c
	}
	switch {
	case e.err != nil:
		if !c.unavailable {
			c.unavailable = true
			ctl.log.Warn("platform unavailable", "kind", e.kind, "last_answer", e.at.Sub(c.lastAnswer), "error", e.err)
		}
		ctl.exchange.platformFailed(ctx, ctl.clock.Now())
	default:
		if c.unavailable {
			ctl.log.Info("platform available again", "kind", e.kind, "away", e.at.Sub(c.lastAnswer))
		}
		c.unavailable = false
		if e.kind != platform.KindEvacuations || !ctl.ignoringEvacuations {
			c.lastAnswer = e.at
		}
		ctl.exchange.platformAnsweredAt = e.at
		ctl.confirmFromPlatform(ctx)
	}
}

// confirmFromPlatform passes to the selector the time up to which all changes of both
// routes and targets have been received from the platform.
func (ctl *controller) confirmFromPlatform(ctx context.Context) {
	routes, targets := ctl.contacts[platform.KindConfiguration], ctl.contacts[platform.KindTargets]
	if routes == nil || targets == nil || ctl.directory.Revision() == 0 || ctl.table.Version() == 0 || ctl.ignoring {
		return
	}
	confirmed := routes.lastAnswer
	if targets.lastAnswer.Before(confirmed) {
		confirmed = targets.lastAnswer
	}
	if confirmed = ctl.evacuationsConfirmed(confirmed); confirmed.IsZero() {
		return
	}
	ctl.exchange.platformAnswered(ctx, ctl.clock.Now(), confirmed)
}

// applyConfiguration applies a configuration if it is newer than the current one.
func (ctl *controller) applyConfiguration(c pimentospread.Configuration) {
	before := ctl.table.Version()
	if !ctl.table.Put(c) {
		return
	}
	ctl.changed = true
	ctl.exchange.distributor.RecordConfiguration(c)
	ctl.log.Info("configuration in force", "configuration", c.Version, "before", before, "routes", len(c.Routes), "source", ctl.exchange.source())
}

// handleTargets applies an update of the targets from the platform.
func (ctl *controller) handleTargets(e targetsUpdate) {
	now := ctl.clock.Now()
	ctl.detectOutage(now)
	ctl.reportIgnored(e.update)
	ctl.applyTargets(now, e.update)
	ctl.targetsSource.ReadPlatform(ctl.directory.Revision())
	for _, u := range e.invalid {
		ctl.log.Warn("invalid registration; its target is not used", "target", u.name, "revision", e.update.Revision, "error", u.reason)
	}
}

// detectOutage starts the grace period after an outage of the platform. Targets that are
// missing already need the time again after any outage that the host notices.
func (ctl *controller) detectOutage(now time.Time) {
	age := now.Sub(ctl.exchange.selector.Confirmed())
	if ctl.directory.Revision() > 0 && (age > outageThreshold || age > relayMaxAge && ctl.directory.HasMissing()) {
		ctl.directory.PlatformReturned(now)
	}
}

// reportIgnored logs the first of several updates from the platform in a row that the
// directory does not apply.
func (ctl *controller) reportIgnored(u discovery.Update) {
	ignored := !ctl.directory.Accepts(u)
	if ignored && !ctl.ignoring {
		ctl.log.Warn("update of the targets from the platform was ignored", "revision", ctl.directory.Revision(),
			"update_from", u.From, "update_revision", u.Revision, "full", u.Full)
	}
	ctl.ignoring = ignored
}

// applyTargets applies an update of the targets from any source.
func (ctl *controller) applyTargets(now time.Time, u discovery.Update) {
	if !ctl.directory.Accepts(u) {
		ctl.ignoredUpdates.Add(1)
		return
	}
	before, revision := ctl.directory.Digest(), ctl.directory.Revision()
	changes := ctl.directory.Apply(now, u)
	ctl.exchange.restored = ctl.exchange.restored || revision > 0 && u.Revision.Era() > revision.Era()
	ctl.exchange.distributor.RecordTargets(before, changes)
	ctl.recordChanges(changes)
}

// recordChanges logs changes of targets and marks the view as outdated. If there are
// many changes, it logs only counts of the last ones.
func (ctl *controller) recordChanges(changes []discovery.Change) {
	if len(changes) == 0 {
		return
	}
	ctl.changed = true
	if rest := changes[min(maxTargetLogLines, len(changes)):]; len(rest) > 0 {
		changes = changes[:maxTargetLogLines]
		counts := map[discovery.ChangeKind]int{}
		for _, c := range rest {
			counts[c.Kind]++
		}
		ctl.log.Info("more targets changed", "counts", counts, "revision", ctl.directory.Revision(), "source", ctl.exchange.source())
	}
	for _, c := range changes {
		r := c.Registration
		ctl.log.Info("target "+string(c.Kind), "target", r.Name, "service", r.Service, "address", r.Address,
			"target_domain", r.FailureDomain, "born", r.Born, "token", r.Token(), "revision", ctl.directory.Revision(),
			"source", ctl.exchange.source())
	}
}

// publish sends changes to the steering duty and to the subscribers.
func (ctl *controller) publish(ctx context.Context) {
	now := ctl.clock.Now()
	ctl.exchange.publish(ctx, now, ctl.changed, ctl.sharedState())
	changed := ctl.changed || ctl.exchange.hostsChanged
	if changed {
		ctl.view = steer.NewView(ctl.steeringState())
	}
	confirmed := ctl.exchange.selector.Confirmed()
	if ctl.view == nil || !changed && confirmed.Equal(ctl.view.Confirmed) {
		return
	}
	ctl.changed, ctl.exchange.hostsChanged = false, false
	ctl.view = ctl.view.WithRevision(ctl.directory.Revision(), confirmed)
	_ = ctl.views.Put(ctx, ctl.view)
	ctl.summary.Store(&summary{
		version: ctl.view.Version, revision: ctl.view.Revision, targets: ctl.view.Targets(), confirmed: confirmed,
		sources: ctl.exchange.selector.Sources(), hosts: len(ctl.exchange.peers.All()), followers: len(ctl.exchange.distributor.Subscribers()),
		evacuated: ctl.view.Evacuated(),
	})
	if v := ctl.view; v.Complete() && !ctl.ready.Swap(true) {
		ctl.log.Info("host ready", "configuration", v.Version, "revision", v.Revision, "targets", v.Targets())
	}
}

// steeringState returns the state that packets are steered by.
func (ctl *controller) steeringState() steer.State {
	s := steer.State{
		Self: ctl.exchange.self.Host, FailureDomain: ctl.failureDomain, Table: ctl.table, Directory: ctl.directory,
	}
	if ctl.evacuations != nil {
		s.Evacuated, s.EvacuationsUnknown = ctl.evacuations.Domains(), ctl.evacuations.Revision() == 0
	}
	for _, p := range ctl.exchange.peers.All() {
		s.Hosts = append(s.Hosts, steer.Host{ID: p.Host, FailureDomain: p.FailureDomain})
	}
	return s
}

// sharedState returns the state that subscribers may receive.
func (ctl *controller) sharedState() dissemination.State {
	return dissemination.State{
		Directory: ctl.directory, Table: ctl.table, Peers: &ctl.exchange.peers, Evacuations: ctl.evacuations,
		Confirmed: ctl.exchange.selector.Confirmed(), Path: ctl.exchange.path,
	}
}

// handleMessage handles a message from another host.
func (ctl *controller) handleMessage(ctx context.Context, in pimentospread.Inbound) {
	switch m := in.Message.(type) {
	case *dissemination.Subscribe:
		if !ctl.exchange.restored {
			m.AssumeEras(ctl.sharedState().Position())
		}
		ctl.exchange.handleSubscribe(ctx, ctl.clock.Now(), in.From, m, ctl.sharedState())
	case *dissemination.StateUpdate:
		ctl.handleStateUpdate(ctx, in.From, m)
	default:
		ctl.log.Error("unexpected message from peer", "peer", in.From, "kind", in.Message.MessageKind())
	}
}

// handleStateUpdate applies the state that another host sent. The next subscription
// requests again what does not follow on the state of this host.
func (ctl *controller) handleStateUpdate(ctx context.Context, from pimentospread.HostID, m *dissemination.StateUpdate) {
	now := ctl.clock.Now()
	if m.Leaves {
		ctl.exchange.handlePeerLeft(ctx, now, from)
		return
	}
	position := ctl.sharedState().Position()
	if ctl.exchange.restored && position.Targets.Era() > 0 && !m.HasEras() {
		// A host of an earlier release does not notice that the store was restored.
		ctl.exchange.selector.ReceivedMessage(now, from)
		return
	}
	m.AssumeEras(position)
	ctl.detectOutage(now)
	ctl.directory.ExtendGrace(now, m.Grace)
	for _, u := range m.Updates {
		if ctl.targetsSource.Accept(from, u.Full, u.From, ctl.directory.Revision()) {
			ctl.applyTargets(now, u)
		}
	}
	if m.Routes != nil {
		if c, ok := m.Routes.Apply(ctl.table.Configuration()); ok {
			ctl.applyConfiguration(c)
		}
	}
	ctl.applyEvacuations(now, m)
	ctl.exchange.handleStateUpdate(ctx, now, from, m, ctl.sharedState(), ctl.lacksEvacuations(m))
}
