// Package publish puts a checked set of objects into force through the
// platform. The conditional update of one object is the only point of decision.
package publish

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/pool"
	"pimentospread/release"
)

// maxAttempts bounds the writes of one publication whose answers are lost.
const maxAttempts = 5

// Deps are the dependencies of a Publisher.
type Deps struct {
	Platform pimentospread.Platform
	Clock    pimentospread.Clock
	Cell     pimentospread.Cell
	// NewID returns a publish identifier that was never used before.
	NewID func() pimentospread.PublishID
	// NewSeed returns the seed of a cell's first release.
	NewSeed func() uint64
}

// Publisher publishes releases of one cell.
type Publisher struct {
	deps Deps
}

// New returns a publisher.
func New(deps Deps) *Publisher { return &Publisher{deps: deps} }

// Change is what an operator asks for. Exactly one of Objects, Target and Rollback is set.
type Change struct {
	// Objects are merged into the current set, or replace it.
	Objects *release.Set `json:"Objects,omitempty"`
	Replace bool         `json:"Replace,omitempty"`
	// Target changes the state of one target.
	Target *TargetChange `json:"Target,omitempty"`
	// Rollback publishes the content of an earlier generation again.
	Rollback pimentospread.Generation `json:"Rollback,omitempty"`
	// IfGeneration, when set, refuses the change unless this generation is current.
	IfGeneration pimentospread.Generation `json:"IfGeneration,omitempty"`
	Publisher    string                   `json:"Publisher"`
}

// TargetChange is a new state for one target.
type TargetChange struct {
	Pool   pimentospread.PoolName   `json:"Pool"`
	Target pimentospread.TargetName `json:"Target"`
	State  pool.State               `json:"State"`
}

// Current reads the release that is in force, and its object version. A cell
// without a release gives nil and version 0.
func (p *Publisher) Current(ctx context.Context) (*release.Release, pimentospread.ObjectVersion, error) {
	o, err := p.deps.Platform.Get(ctx, p.key())
	if errorx.IsOfType(err, pimentospread.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := release.Decode(o.Value)
	return r, o.Version, err
}

// Publish puts the change into force and returns the new release. It returns
// an error of type ErrInvalid with the faults, ErrConflict when another
// publisher was first, and ErrUncertain when the platform does not say whether
// the update took effect.
func (p *Publisher) Publish(ctx context.Context, c Change) (*release.Release, error) {
	current, version, err := p.Current(ctx)
	if err != nil {
		return nil, err
	}
	if c.IfGeneration != 0 && (current == nil || current.Generation != c.IfGeneration) {
		return nil, newConflictError(current)
	}
	set, err := p.apply(ctx, current, c)
	if err != nil {
		return nil, err
	}
	next, faults := release.Next(current, set, release.Publication{
		ID: p.deps.NewID(), At: p.deps.Clock.Now().UTC(), Publisher: c.Publisher, Seed: p.deps.NewSeed(),
	})
	if len(faults) > 0 {
		return nil, NewInvalidError(faults)
	}
	if err := p.archive(ctx, current); err != nil {
		return nil, err
	}
	return p.update(ctx, &next, version)
}

func (p *Publisher) apply(ctx context.Context, current *release.Release, c Change) (release.Set, error) {
	var base release.Set
	if current != nil {
		base = current.SourceSet()
	}
	switch {
	case c.Objects != nil && c.Replace:
		return *c.Objects, nil
	case c.Objects != nil:
		return base.Merge(*c.Objects), nil
	case c.Target != nil:
		set, ok := base.WithTargetState(c.Target.Pool, c.Target.Target, c.Target.State)
		if !ok {
			return set, NewInvalidError([]pimentospread.Fault{pimentospread.Faultf("Target", "pool %q has no target %q", c.Target.Pool, c.Target.Target)})
		}
		return set, nil
	case c.Rollback != 0:
		return p.archivedSet(ctx, current, c.Rollback)
	}
	return base, NewInvalidError([]pimentospread.Fault{pimentospread.Faultf("", "the change is empty")})
}

func (p *Publisher) archivedSet(ctx context.Context, current *release.Release, g pimentospread.Generation) (release.Set, error) {
	if current != nil && current.Generation == g {
		return current.SourceSet(), nil
	}
	r, err := p.readArchived(ctx, g)
	if err != nil {
		return release.Set{}, err
	}
	return r.SourceSet(), nil
}

// archive keeps the current release under its generation before it is
// replaced. It exists already when an earlier publisher got this far.
func (p *Publisher) archive(ctx context.Context, current *release.Release) error {
	if current == nil {
		return nil
	}
	value, err := json.Marshal(current)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be encoded"), "archive", "")
	}
	for range maxAttempts {
		_, err = p.deps.Platform.Put(ctx, p.archiveKey(current.Generation), value, 0)
		if err == nil || errorx.IsOfType(err, pimentospread.ErrConflict) {
			return nil
		}
		if !errorx.IsOfType(err, pimentospread.ErrUncertain) {
			return err
		}
	}
	return err
}

// update makes the release current. When an answer is lost it reads back who
// won: the write is repeated only while the object has the old version.
func (p *Publisher) update(ctx context.Context, next *release.Release, version pimentospread.ObjectVersion) (*release.Release, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be encoded"), "publish", "")
	}
	for range maxAttempts {
		_, err = p.deps.Platform.Put(ctx, p.key(), value, version)
		if err == nil {
			return next, nil
		}
		if !errorx.IsOfType(err, pimentospread.ErrUncertain) && !errorx.IsOfType(err, pimentospread.ErrConflict) {
			return nil, err
		}
		settled, now, readErr := p.resolveOutcome(ctx, next, version)
		switch {
		case readErr != nil:
			err = readErr
		case settled:
			return next, nil
		case now != nil:
			return nil, newConflictError(now)
		}
	}
	return nil, newUncertainError(err, next)
}

// resolveOutcome reads back after a lost answer. It reports true when the release took
// effect, and returns the winner when another one did. Neither means that the
// object still has the old version.
func (p *Publisher) resolveOutcome(ctx context.Context, next *release.Release, version pimentospread.ObjectVersion) (bool, *release.Release, error) {
	current, now, err := p.Current(ctx)
	if err != nil {
		return false, nil, err
	}
	if current != nil && current.PublishID == next.PublishID {
		return true, nil, nil
	}
	if now == version {
		return false, nil, nil
	}
	if current.Generation <= next.Generation {
		return false, current, nil
	}
	// A later release archived the one of this generation before it replaced it.
	kept, err := p.readArchived(ctx, next.Generation)
	if err != nil {
		return false, nil, err
	}
	return kept.PublishID == next.PublishID, current, nil
}

func (p *Publisher) readArchived(ctx context.Context, g pimentospread.Generation) (*release.Release, error) {
	o, err := p.deps.Platform.Get(ctx, p.archiveKey(g))
	if err != nil {
		return nil, err
	}
	return release.Decode(o.Value)
}

func (p *Publisher) key() pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.KindRelease, Name: string(p.deps.Cell)}
}

func (p *Publisher) archiveKey(g pimentospread.Generation) pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.KindArchive, Name: fmt.Sprintf("%s.%d", p.deps.Cell, g)}
}
