package tokenfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/platform"
	"pimentospread/ring"
)

// translation turns changes of objects into an event, or into none.
type translation func(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error)

// watcher is the duty that reads one kind of object from the platform. It
// rests while the host hears that kind from a peer.
type watcher struct {
	kind   pimentospread.ObjectKind
	feed   pimentospread.ObjectFeed
	clock  pimentospread.Clock
	cursor *dissemination.Cursor
	events *ring.Ring[event]
	// active tells whether the platform is to be read. The newest value counts.
	active *ring.Ring[bool]
	// translate turns what was read into an event.
	translate translation
	calls     pimentospread.Meters
	log       *slog.Logger
}

// run reads until the context ends. Being told to rest takes effect after the
// call in progress, which takes a second at most.
func (w *watcher) run(ctx context.Context) error {
	active := true
	for ctx.Err() == nil {
		select {
		case active = <-w.active.Items():
			w.cursor.Restart()
			continue
		default:
		}
		if active {
			w.call(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case active = <-w.active.Items():
			w.cursor.Restart()
		}
	}
	return nil
}

func (w *watcher) call(ctx context.Context) {
	call := w.cursor.Next(w.clock.Now(), rand.Float64())
	switch call.Step {
	case dissemination.Pause:
		t := time.NewTimer(call.Wait)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	case dissemination.List:
		w.list(ctx)
	case dissemination.Watch:
		w.watch(ctx, call)
	}
}

func (w *watcher) list(ctx context.Context) {
	began := w.clock.Now()
	listing, err := w.feed.List(ctx, w.kind)
	w.took("list", began)
	if !w.answered(ctx, "list", err) {
		return
	}
	w.cursor.Listed(w.clock.Now(), listing.Revision)
	changes := make([]pimentospread.Change, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		changes = append(changes, pimentospread.Change{Object: o})
	}
	w.report(ctx, true, 0, listing.Revision, changes)
}

func (w *watcher) watch(ctx context.Context, call dissemination.Call) {
	began := w.clock.Now()
	changes, err := w.feed.Changes(ctx, w.kind, call.After, call.Wait)
	w.took("watch", began)
	if errorx.IsOfType(err, pimentospread.ErrExpired) {
		w.count("watch", "expired")
		w.log.Warn("platform has lost its history; listing again", "kind", w.kind, "revision", call.After)
		w.cursor.Expired()
		return
	}
	if !w.answered(ctx, "watch", err) {
		return
	}
	w.cursor.Changed(changes.Revision, len(changes.Changes))
	w.report(ctx, false, call.After, changes.Revision, changes.Changes)
}

// answered counts the call and tells the belief duty when it failed.
func (w *watcher) answered(ctx context.Context, call string, err error) bool {
	if err == nil {
		w.count(call, "ok")
		return true
	}
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return false
	}
	w.count(call, "failed")
	w.cursor.Failed()
	_ = w.events.Put(ctx, contact{kind: w.kind, at: w.clock.Now(), err: err})
	return false
}

// took notes the time of a call. That of a watch has the wait for a change in it.
func (w *watcher) took(call string, began time.Time) {
	w.calls.Histogram(fmt.Sprintf("pimentospread_platform_call_seconds{call=%q}", call)).Update(w.clock.Now().Sub(began).Seconds())
}

func (w *watcher) count(call, outcome string) {
	w.calls.Counter(fmt.Sprintf("pimentospread_platform_calls_total{call=%q,kind=%q,outcome=%q}", call, w.kind, outcome)).Add(1)
}

// report tells the belief duty what was read. An answer without changes counts
// too: it moves the revision on and proves that the belief is complete.
func (w *watcher) report(ctx context.Context, full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) {
	e, err := w.translate(full, from, revision, changes)
	switch {
	case err != nil:
		w.log.Error("object of the platform is not readable; the last good one stays in force", "kind", w.kind, "revision", revision, "error", err)
	case e != nil:
		_ = w.events.Put(ctx, e)
	}
	_ = w.events.Put(ctx, contact{kind: w.kind, at: w.clock.Now()})
}

// translateTargets turns objects into an update of the registrations. An entry
// that cannot be read names no target.
func translateTargets(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	e := targetsHeard{update: discovery.Update{Full: full, From: from, Revision: revision}}
	last := map[pimentospread.RegistrationName]pimentospread.Change{}
	var order []pimentospread.RegistrationName
	for _, c := range changes {
		name := pimentospread.RegistrationName(c.Name)
		if _, seen := last[name]; !seen {
			order = append(order, name)
		}
		last[name] = c
	}
	for _, name := range order {
		c := last[name]
		if c.Deleted {
			e.update.Removed = append(e.update.Removed, name)
			continue
		}
		r, err := platform.DecodeRegistration(c.Object)
		if err != nil {
			e.update.Removed = append(e.update.Removed, name)
			e.unreadable = append(e.unreadable, unreadableEntry{name, err})
			continue
		}
		e.update.Present = append(e.update.Present, r)
	}
	return e, nil
}

// translateConfiguration takes the newest configuration among the objects.
func translateConfiguration(_ bool, _, _ pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	var found *pimentospread.Change
	for i, c := range changes {
		if c.ObjectKey == platform.ConfigurationKey && !c.Deleted {
			found = &changes[i]
		}
	}
	if found == nil {
		return nil, nil //nolint:nilnil // other objects of the kind say nothing to a host
	}
	c, err := platform.DecodeConfiguration(found.Object)
	if err != nil {
		return nil, err
	}
	return configurationHeard{c}, nil
}
