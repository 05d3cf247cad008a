package front

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/directory"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/routing"
	"pimentospread/steer"
)

const (
	// listTimeout bounds a list. A slow platform answers in 0.24 s.
	listTimeout = 1500 * time.Millisecond
	// relistInterval bounds how long a change stays unknown that a watch has missed.
	relistInterval = 15 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call. The last one
	// keeps a return of the platform from being noticed late.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// absentAfter is the silence of the platform after which entries may have
	// lapsed though their targets live. Entries lapse after three heartbeats.
	absentAfter = time.Second
	// tickInterval is how often ages are checked.
	tickInterval = 250 * time.Millisecond
)

// belief is the duty that owns what the host believes of routes and targets.
type belief struct {
	clock     pimentospread.Clock
	log       *slog.Logger
	events    *ring.Ring[event]
	views     *ring.Ring[*steer.View]
	domain    pimentospread.FailureDomain
	table     *routing.Table
	directory *directory.Directory
	contacts  map[pimentospread.ObjectKind]*contactState
	// ready says that the host knows enough to take packets.
	ready atomic.Bool
	// summary is what the metrics show.
	summary atomic.Pointer[summary]
	// changed says that routes or targets changed since the last view, and
	// confirmed that they are known to be complete up to a later time.
	changed, confirmed bool
	view               *steer.View
}

// contactState is how the platform answered for one kind of object.
type contactState struct {
	last time.Time
	lost bool
}

// summary is a copy of the state for metrics.
type summary struct {
	version  pimentospread.ConfigurationVersion
	revision pimentospread.ObjectVersion
	targets  int
	contacts map[pimentospread.ObjectKind]time.Time
}

func (b *belief) run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-b.events.Items():
			b.hear(e)
		case <-tick.C:
			b.tell(b.directory.Tick(b.clock.Now()))
		}
		b.publish(ctx)
	}
}

func (b *belief) hear(e event) {
	switch e := e.(type) {
	case contact:
		b.hearContact(e)
	case configurationHeard:
		b.hearConfiguration(e.configuration)
	case targetsHeard:
		b.hearTargets(e)
	}
}

func (b *belief) hearContact(e contact) {
	c, ok := b.contacts[e.kind]
	if !ok {
		c = &contactState{last: e.at}
		b.contacts[e.kind] = c
	}
	switch {
	case e.err != nil && !c.lost:
		c.lost = true
		b.log.Warn("platform lost", "kind", e.kind, "last_answer", e.at.Sub(c.last), "error", e.err)
	case e.err == nil:
		if c.lost {
			b.log.Info("platform back", "kind", e.kind, "away", e.at.Sub(c.last))
		}
		c.last, c.lost = e.at, false
		b.confirmed = true
	}
}

func (b *belief) hearConfiguration(c pimentospread.Configuration) {
	held := b.table.Version()
	if !b.table.Put(c) {
		return
	}
	b.changed = true
	b.log.Info("configuration in force", "configuration", c.Version, "before", held, "routes", len(c.Routes))
}

func (b *belief) hearTargets(e targetsHeard) {
	now := b.clock.Now()
	if c := b.contacts[platform.KindTargets]; c != nil && now.Sub(c.last) > absentAfter {
		b.directory.PlatformReturned(now)
	}
	b.tell(b.directory.Apply(now, e.update))
	for _, u := range e.unreadable {
		b.log.Warn("registration is not readable and names no target", "target", u.name, "revision", e.update.Revision, "error", u.reason)
	}
}

// tell logs changes of belief about targets.
func (b *belief) tell(changes []directory.Change) {
	for _, c := range changes {
		b.changed = true
		r := c.Registration
		b.log.Info("target "+string(c.What), "target", r.Name, "service", r.Service, "address", r.Address,
			"target_domain", r.FailureDomain, "born", r.Born, "token", r.Token(), "revision", b.directory.Revision())
	}
}

// publish gives the steering duty a new view after a change.
func (b *belief) publish(ctx context.Context) {
	if !b.changed && !b.confirmed {
		return
	}
	if b.changed {
		b.view = steer.NewView(b.domain, b.table, b.directory)
	}
	b.changed, b.confirmed = false, false
	if b.view == nil {
		return
	}
	b.view = b.view.At(b.directory.Revision(), b.confirmedAt())
	_ = b.views.Put(ctx, b.view)
	b.summarize()
	if v := b.view; v.Version > 0 && v.Revision > 0 && !b.ready.Swap(true) {
		b.log.Info("host ready", "configuration", v.Version, "revision", v.Revision, "targets", v.Targets())
	}
}

// summarize copies what the metrics show.
func (b *belief) summarize() {
	s := &summary{
		version: b.view.Version, revision: b.view.Revision, targets: b.view.Targets(),
		contacts: make(map[pimentospread.ObjectKind]time.Time, len(b.contacts)),
	}
	for kind, c := range b.contacts {
		s.contacts[kind] = c.last
	}
	b.summary.Store(s)
}

// confirmedAt returns the time up to which both kinds of belief are known to be complete.
func (b *belief) confirmedAt() time.Time {
	var oldest time.Time
	for _, c := range b.contacts {
		if oldest.IsZero() || c.last.Before(oldest) {
			oldest = c.last
		}
	}
	return oldest
}
