package controlplane

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/member"
	"pimentospread/release"
)

// Retry delays of a watch that fails. The longest leaves two of the five seconds
// in which a release must be in force after an outage.
const (
	initialWatchDelay = 250 * time.Millisecond
	maxWatchDelay     = 3 * time.Second
)

// platformTasks starts and stops the duties that wait for the platform.
type platformTasks struct {
	controller *Controller
	group      *duty.Group
	stop       context.CancelFunc
}

func (t *platformTasks) apply(a Actions) {
	if a.ReadPlatform {
		t.group.Go("platform read", t.controller.readPlatform)
	}
	if r := a.Republish; r != nil {
		t.group.Go("platform republish", func(ctx context.Context) error { return t.controller.republish(ctx, *r) })
	}
	if a.Watch == nil {
		return
	}
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
	if !a.Watch.On {
		return
	}
	ctx, stop := context.WithCancel(t.group.Context())
	t.stop = stop
	for _, kind := range []pimentospread.ObjectKind{pimentospread.KindRelease, pimentospread.KindRoster} {
		t.group.Go("platform watch "+string(kind), func(context.Context) error {
			return t.controller.watch(ctx, kind)
		})
	}
}

// readPlatform reads the release and the roster once. A missing object does not count as a failure.
func (c *Controller) readPlatform(ctx context.Context) error {
	answered := true
	for _, kind := range []pimentospread.ObjectKind{pimentospread.KindRelease, pimentospread.KindRoster} {
		o, err := c.deps.Platform.Get(ctx, c.objectKey(kind))
		switch {
		case err == nil:
			c.deliverObject(ctx, o)
		case !errorx.IsOfType(err, pimentospread.ErrNotFound):
			c.deps.Log.Warn("failed to read object from the platform", "kind", kind, "error", err)
			answered = false
		}
	}
	_ = c.events.Put(ctx, PlatformReadDone{Answered: answered})
	return nil
}

// watch watches one object for changes until the context ends.
func (c *Controller) watch(ctx context.Context, kind pimentospread.ObjectKind) error {
	var after pimentospread.ObjectVersion
	delay := initialWatchDelay
	for ctx.Err() == nil {
		o, err := c.deps.Platform.Watch(ctx, c.objectKey(kind), after)
		switch {
		case err == nil:
			after, delay = o.Version, initialWatchDelay
			c.deliverObject(ctx, o)
			continue
		case errorx.IsOfType(err, pimentospread.ErrTimeout):
			delay = initialWatchDelay
			continue
		case ctx.Err() != nil:
			return nil
		}
		c.deps.Log.Warn("failed to watch object on the platform", "kind", kind, "error", err)
		pause(ctx, delay)
		delay = min(2*delay, maxWatchDelay)
	}
	return nil
}

// republish writes a release that the platform has lost, until the platform has it or a
// newer one. Several hosts may do so at the same time; one of them succeeds.
func (c *Controller) republish(ctx context.Context, r Republication) error {
	for delay := initialWatchDelay; ctx.Err() == nil; delay = min(2*delay, maxWatchDelay) {
		err := c.replaceOlder(ctx, r)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		c.deps.Log.Warn("failed to write a lost release to the platform again", "written_generation", r.PackedRelease.generation(), "error", err)
		pause(ctx, delay)
	}
	return nil
}

// replaceOlder archives the older release on the platform and replaces it. A conflict means
// that another host or a publisher was first.
func (c *Controller) replaceOlder(ctx context.Context, r Republication) error {
	older, err := decompress(r.Older.Packed)
	if err != nil {
		return err
	}
	value, err := decompress(r.PackedRelease.Packed)
	if err != nil {
		return err
	}
	_, err = c.deps.Platform.Put(ctx, release.ArchiveKey(c.deps.Cell, r.Older.generation()), older, 0)
	if err != nil && !errorx.IsOfType(err, pimentospread.ErrConflict) {
		return err
	}
	version, err := c.deps.Platform.Put(ctx, c.objectKey(pimentospread.KindRelease), value, r.Expected)
	if err == nil {
		c.deps.Log.Warn("release that the platform had lost was written again", "written_generation", r.PackedRelease.generation(), "version", version)
	}
	if errorx.IsOfType(err, pimentospread.ErrConflict) {
		return nil
	}
	return err
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *Controller) objectKey(kind pimentospread.ObjectKind) pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: kind, Name: string(c.deps.Cell)}
}

// deliverObject queues the event for an object. It rejects an invalid object;
// the last valid one stays in force.
func (c *Controller) deliverObject(ctx context.Context, o pimentospread.Object) {
	e, err := c.decodeObject(o)
	if err != nil {
		c.invalidReleases.Add(1)
		c.deps.Log.Error("platform returned an invalid object", "kind", o.Kind, "version", o.Version, "error", err)
		return
	}
	_ = c.events.Put(ctx, e)
}

func (c *Controller) decodeObject(o pimentospread.Object) (Event, error) {
	if o.Kind == pimentospread.KindRoster {
		r, err := member.DecodeRoster(o)
		return RosterRead{Roster: r}, err
	}
	packed, err := Pack(o.Value, c.deps.Decode)
	return ReleaseRead{PackedRelease: packed, Version: o.Version}, err
}
