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

// translator converts changes of objects into an event. It returns nil if the changes
// are not relevant.
type translator func(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error)

// watcher is the duty that reads one kind of object from the platform. It pauses while
// the host receives this kind from a peer.
type watcher struct {
	kind   pimentospread.ObjectKind
	feed   pimentospread.ObjectFeed
	clock  pimentospread.Clock
	cursor *dissemination.Cursor
	events *ring.Ring[event]
	// activations activates or pauses the watcher. Only the newest value counts.
	activations *ring.Ring[bool]
	// translate converts the objects that were read into an event.
	translate translator
	// revision is that of the last list. Zero means that nothing was listed yet.
	revision    pimentospread.ObjectVersion
	callMetrics pimentospread.HistogramMetrics
	log         *slog.Logger
}

// run reads until the context ends. A pause takes effect after the call in progress,
// which takes at most a second.
func (w *watcher) run(ctx context.Context) error {
	active := true
	for ctx.Err() == nil {
		select {
		case active = <-w.activations.Items():
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
		case active = <-w.activations.Items():
			w.cursor.Restart()
		}
	}
	return nil
}

// call makes the next call that the cursor requests.
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

// list lists all objects.
func (w *watcher) list(ctx context.Context) {
	start := w.clock.Now()
	listing, err := w.feed.List(ctx, w.kind)
	w.observeDuration("list", start)
	if !w.reportResult(ctx, "list", err) {
		return
	}
	w.logRestore(listing.Revision)
	w.cursor.Listed(w.clock.Now(), listing.Revision)
	changes := make([]pimentospread.Change, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		changes = append(changes, pimentospread.Change{Object: o})
	}
	w.deliver(ctx, true, 0, listing.Revision, changes)
}

// watch waits for changes after a revision.
func (w *watcher) watch(ctx context.Context, call dissemination.Call) {
	start := w.clock.Now()
	changes, err := w.feed.Changes(ctx, w.kind, call.After, call.Wait)
	w.observeDuration("watch", start)
	if errorx.IsOfType(err, pimentospread.ErrExpired) {
		w.countCall("watch", "expired")
		w.log.Warn("revision is no longer in the history of the platform; listing again", "kind", w.kind, "revision", call.After)
		w.cursor.Expired()
		return
	}
	if !w.reportResult(ctx, "watch", err) {
		return
	}
	w.cursor.Changed(changes.Revision, len(changes.Changes))
	w.deliver(ctx, false, call.After, changes.Revision, changes.Changes)
}

// logRestore logs that the platform's store was restored from an older copy since the last
// list. A watch across a restore expires, so that the first answer after it is a list.
func (w *watcher) logRestore(revision pimentospread.ObjectVersion) {
	if w.revision > 0 && revision.Era() > w.revision.Era() {
		w.log.Warn("platform's store was restored from an older copy", "kind", w.kind, "era", revision.Era(), "before", w.revision.Era(), "revision", revision)
	}
	w.revision = revision
}

// reportResult counts the call and reports a failure to the cursor and the controller.
// It returns whether the call succeeded.
func (w *watcher) reportResult(ctx context.Context, call string, err error) bool {
	if err == nil {
		w.countCall(call, "ok")
		return true
	}
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return false
	}
	w.countCall(call, "failed")
	w.cursor.Failed()
	_ = w.events.Put(ctx, platformResult{kind: w.kind, at: w.clock.Now(), err: err})
	return false
}

// observeDuration records the duration of a call. For a watch it includes the wait for
// a change.
func (w *watcher) observeDuration(call string, start time.Time) {
	w.callMetrics.Histogram(fmt.Sprintf("pimentospread_platform_call_seconds{call=%q}", call)).Update(w.clock.Now().Sub(start).Seconds())
}

// countCall counts a call by its outcome.
func (w *watcher) countCall(call, outcome string) {
	w.callMetrics.Counter(fmt.Sprintf("pimentospread_platform_calls_total{call=%q,kind=%q,outcome=%q}", call, w.kind, outcome)).Add(1)
}

// deliver sends the changes to the controller. Results without changes count too: they
// advance the revision and confirm that the state is complete.
func (w *watcher) deliver(ctx context.Context, full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) {
	e, err := w.translate(full, from, revision, changes)
	switch {
	case err != nil:
		w.log.Error("invalid object on the platform; the last valid one stays in force", "kind", w.kind, "revision", revision, "error", err)
	case e != nil:
		_ = w.events.Put(ctx, e)
	}
	_ = w.events.Put(ctx, platformResult{kind: w.kind, at: w.clock.Now()})
}

// translateTargets converts objects into an update of the registrations. A registration
// that cannot be decoded is treated as removed.
func translateTargets(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	e := targetsUpdate{update: discovery.Update{Full: full, From: from, Revision: revision, Watched: !full}}
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
			e.invalid = append(e.invalid, invalidRegistration{name, err})
			continue
		}
		e.update.Present = append(e.update.Present, r)
	}
	return e, nil
}

// translateConfiguration decodes the newest configuration among the objects.
func translateConfiguration(_ bool, _, _ pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	var found *pimentospread.Change
	for i, c := range changes {
		if c.ObjectKey == platform.ConfigurationKey && !c.Deleted {
			found = &changes[i]
		}
	}
	if found == nil {
		return nil, nil //nolint:nilnil // other objects of the kind are not relevant to a host
	}
	c, err := platform.DecodeConfiguration(found.Object)
	if err != nil {
		return nil, err
	}
	return configurationUpdate{c}, nil
}
