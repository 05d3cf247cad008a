// Package publish publishes releases through the platform. A conditional update of
// the platform's release object decides which of several concurrent publishers succeeds.
package publish

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/pool"
	"pimentospread/release"
)

// maxAttempts limits the writes of one publication when answers are lost.
const maxAttempts = 5

// Deps are the dependencies of a Publisher.
type Deps struct {
	Platform pimentospread.Platform
	Clock    pimentospread.Clock
	Cell     pimentospread.Cell
	// NewID returns a unique publish ID.
	NewID func() pimentospread.PublishID
	// NewSeed returns the seed of a cell's first release.
	NewSeed func() uint64
	// InForce returns what the hosts of the cell have in force. The platform is behind them
	// after it was restored from an older copy.
	InForce func(ctx context.Context) (InForce, error)
}

// InForce is what the hosts of a cell have in force, as this host sees it.
type InForce struct {
	// Release is the newest release that this host has. It is nil before the first one.
	Release *release.Release
	// Newest is the newest generation that this host or a live peer has.
	Newest pimentospread.Generation
}

// Publisher applies operators' changes to the current release of one cell. It archives
// that release and publishes the next.
type Publisher struct {
	deps Deps
}

// New returns a Publisher for one cell.
func New(deps Deps) *Publisher { return &Publisher{deps: deps} }

// Change is an operator's change request. Exactly one of Objects, Target and Rollback is set.
type Change struct {
	// Objects are merged into the current set, or replace it when Replace is set.
	Objects *release.Set `json:"Objects,omitempty"`
	Replace bool         `json:"Replace,omitempty"`
	// Target changes the state of one target.
	Target *TargetChange `json:"Target,omitempty"`
	// Rollback is an earlier generation whose objects are published again.
	Rollback pimentospread.Generation `json:"Rollback,omitempty"`
	// IfGeneration, when set, is the generation that must be current for the change to apply.
	IfGeneration pimentospread.Generation `json:"IfGeneration,omitempty"`
	Publisher    string                   `json:"Publisher"`
}

// TargetChange sets the state of one target.
type TargetChange struct {
	Pool   pimentospread.PoolName   `json:"Pool"`
	Target pimentospread.TargetName `json:"Target"`
	State  pool.State               `json:"State"`
}

// Current reads the release in force and its object version. It returns nil and
// version 0 for a cell without a release.
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

// Publish applies the change and returns the new release. Its error is of type
// ErrInvalid, with the faults, when the change is not valid, ErrConflict when another
// publisher was first, and ErrUncertain when it could not be determined whether the
// update took effect.
func (p *Publisher) Publish(ctx context.Context, c Change) (*release.Release, error) {
	current, version, err := p.recoverCurrent(ctx)
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

// recoverCurrent returns the release in force and its object version. If the platform has
// lost that release, recoverCurrent writes it again first: a release that follows an older
// one would get a generation and IDs that the hosts have seen already. It fails while this
// host lacks a release that its peers have.
func (p *Publisher) recoverCurrent(ctx context.Context) (*release.Release, pimentospread.ObjectVersion, error) {
	inForce, err := p.deps.InForce(ctx)
	if err != nil {
		return nil, 0, err
	}
	for range maxAttempts {
		current, version, err := p.Current(ctx)
		if err != nil {
			return nil, 0, err
		}
		stored, held := generationOf(current), generationOf(inForce.Release)
		if stored >= max(held, inForce.Newest) {
			return current, version, nil
		}
		if held < inForce.Newest {
			return nil, 0, newBehindError(stored, held, inForce.Newest)
		}
		// The older release would otherwise be in no archive: it is archived when it is replaced.
		if err := p.archive(ctx, current); err != nil {
			return nil, 0, err
		}
		version, err = p.writeAgain(ctx, inForce.Release, version)
		if err == nil {
			return inForce.Release, version, nil
		}
		// After a lost answer or a conflict, for instance with a relay that does the same, the
		// platform has the release, or the write is repeated.
		if !errorx.IsOfType(err, pimentospread.ErrUncertain) && !errorx.IsOfType(err, pimentospread.ErrConflict) {
			return nil, 0, err
		}
	}
	return nil, 0, newNotRecoveredError(inForce.Release)
}

// writeAgain replaces an older release by one that the platform has lost.
func (p *Publisher) writeAgain(ctx context.Context, lost *release.Release, version pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	value, err := json.Marshal(lost)
	if err != nil {
		return 0, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be encoded"), "recover", "")
	}
	return p.deps.Platform.Put(ctx, p.key(), value, version)
}

// generationOf returns the generation of a release, or zero if there is none.
func generationOf(r *release.Release) pimentospread.Generation {
	if r == nil {
		return 0
	}
	return r.Generation
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
	r, _, err := p.readArchived(ctx, g)
	if err != nil {
		return release.Set{}, err
	}
	return r.SourceSet(), nil
}

// archive stores the current release under its generation before it is replaced. It may be
// archived already, by an earlier publication attempt. Another release under its generation
// was published before the platform was restored, and is replaced.
func (p *Publisher) archive(ctx context.Context, current *release.Release) error {
	if current == nil {
		return nil
	}
	value, err := json.Marshal(current)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be encoded"), "archive", "")
	}
	var expected pimentospread.ObjectVersion
	for range maxAttempts {
		_, err = p.deps.Platform.Put(ctx, release.ArchiveKey(p.deps.Cell, current.Generation), value, expected)
		switch {
		case err == nil:
			return nil
		case errorx.IsOfType(err, pimentospread.ErrConflict):
			archived, version, readErr := p.readArchived(ctx, current.Generation)
			if readErr != nil {
				return readErr
			}
			if archived.PublishID == current.PublishID {
				return nil
			}
			expected = version
		case !errorx.IsOfType(err, pimentospread.ErrUncertain):
			return err
		}
	}
	return err
}

// update makes the release current. After a conflict or a lost answer it reads the
// current release to find out which update took effect. It repeats the write only
// while the object has the old version.
func (p *Publisher) update(ctx context.Context, next *release.Release, version pimentospread.ObjectVersion) (*release.Release, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be encoded"), "publish", "")
	}
	uncertain := false
	for range maxAttempts {
		_, err = p.deps.Platform.Put(ctx, p.key(), value, version)
		if err == nil {
			return next, nil
		}
		if !errorx.IsOfType(err, pimentospread.ErrUncertain) && !errorx.IsOfType(err, pimentospread.ErrConflict) {
			return nil, err
		}
		uncertain = uncertain || errorx.IsOfType(err, pimentospread.ErrUncertain)
		o, readErr := p.resolveOutcome(ctx, next, version)
		switch {
		case readErr != nil:
			err = readErr
		case o.published:
			return next, nil
		case o.restored && uncertain:
			return nil, newUncertainError(err, next)
		case o.conflicting != nil:
			return nil, newConflictError(o.conflicting)
		}
	}
	return nil, newUncertainError(err, next)
}

// outcome is what the platform shows of an update whose answer was lost or reported a conflict.
type outcome struct {
	// published is set if the release took effect, even if a later one has replaced it.
	published bool
	// conflicting is the current release if another one took effect. It is nil if the
	// object still has the old version.
	conflicting *release.Release
	// restored is set if the platform was restored since the update was prepared, so that
	// it may have lost the release after hosts had received it.
	restored bool
}

// resolveOutcome determines the outcome of an update whose answer was lost or reported a
// conflict.
func (p *Publisher) resolveOutcome(ctx context.Context, next *release.Release, version pimentospread.ObjectVersion) (outcome, error) {
	current, currentVersion, err := p.Current(ctx)
	if err != nil {
		return outcome{}, err
	}
	if current != nil && current.PublishID == next.PublishID {
		return outcome{published: true}, nil
	}
	if currentVersion == version {
		return outcome{}, nil
	}
	if current == nil {
		return outcome{}, pimentospread.ErrUncertain.New("release of cell %q was removed before the outcome was read", p.deps.Cell)
	}
	o := outcome{conflicting: current, restored: version > 0 && currentVersion.Era() != version.Era()}
	if current.Generation <= next.Generation {
		return o, nil
	}
	// The release of this generation was archived before a later one replaced it.
	archived, _, err := p.readArchived(ctx, next.Generation)
	if err != nil {
		return outcome{}, err
	}
	o.published = archived.PublishID == next.PublishID
	return o, nil
}

func (p *Publisher) readArchived(ctx context.Context, g pimentospread.Generation) (*release.Release, pimentospread.ObjectVersion, error) {
	o, err := p.deps.Platform.Get(ctx, release.ArchiveKey(p.deps.Cell, g))
	if err != nil {
		return nil, 0, err
	}
	r, err := release.Decode(o.Value)
	return r, o.Version, err
}

func (p *Publisher) key() pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.KindRelease, Name: string(p.deps.Cell)}
}
