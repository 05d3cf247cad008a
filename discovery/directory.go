// Package discovery holds what the platform says of the targets of a host's
// services: which exist, which drain, and which have gone.
package discovery

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Config bounds what a directory remembers.
type Config struct {
	// DepartedRetention is how long a target that has gone stays known, so that the
	// packets of its flows still reach it if it lives. It is the longest life of a flow.
	DepartedRetention time.Duration
	// ReturnGrace is how long entries that are missing after the platform was
	// away are kept. Targets that live register again within this time.
	ReturnGrace time.Duration
}

// warmSlack is the difference between two reports of the end of a warm-up that
// means nothing: a heartbeat and the way to the platform and back.
const warmSlack = time.Second

// Directory is the set of registrations at one revision of the platform. It
// never goes back to an earlier revision.
type Directory struct {
	config   Config
	revision pimentospread.ObjectVersion
	entries  map[pimentospread.RegistrationName]entry
	departed map[pimentospread.Token]departed
	// order holds the names in order. It is nil after a name came or went.
	order []pimentospread.RegistrationName
	// graceUntil is the end of the time in which missing entries are kept.
	graceUntil time.Time
	// digest covers the entries that are not missing.
	digest pimentospread.Digest
}

// emptyDigest is the digest of no registration. It is not zero, which a host
// sends that knows no digests.
const emptyDigest pimentospread.Digest = 1

type entry struct {
	registration pimentospread.Registration
	token        pimentospread.Token
	digest       pimentospread.Digest
	warmUntil    time.Time
	// missing says that the platform no longer has the entry, and that the grace still runs.
	missing bool
}

type departed struct {
	registration pimentospread.Registration
	until        time.Time
}

// Update is the state of registrations, or what changed in it.
type Update struct {
	// Full says that the update has every registration. Otherwise it has what
	// changed after From.
	Full bool
	From pimentospread.ObjectVersion
	// Revision is the revision of the platform after the update.
	Revision pimentospread.ObjectVersion
	// Present holds new and changed registrations.
	Present []pimentospread.Registration
	// Removed holds names that are gone or whose entry is unreadable.
	Removed []pimentospread.RegistrationName
}

// Kind tells how the belief about a target changed.
type Kind string

// Changes of belief.
const (
	Added     Kind = "added"
	Restarted Kind = "restarted"
	Draining  Kind = "draining"
	Ready     Kind = "ready"
	Missing   Kind = "missing"
	Returned  Kind = "returned"
	Gone      Kind = "gone"
	// Changed is any other difference, such as another number of slots.
	Changed Kind = "changed"
)

// Change is one change of belief about a target.
type Change struct {
	Registration pimentospread.Registration
	Kind         Kind
}

// New returns an empty directory.
func New(c Config) *Directory {
	return &Directory{
		config:   c,
		digest:   emptyDigest,
		entries:  map[pimentospread.RegistrationName]entry{},
		departed: map[pimentospread.Token]departed{},
	}
}

// Revision returns the revision of the platform that the directory is at. Zero means none yet.
func (d *Directory) Revision() pimentospread.ObjectVersion { return d.revision }

// Digest returns the digest of the registrations that the platform has.
func (d *Directory) Digest() pimentospread.Digest { return d.digest }

// Covers reports whether the update can be applied: it is full, or it begins at
// or before the directory's revision.
func (d *Directory) Covers(u Update) bool { return u.Full || u.From <= d.revision && d.revision > 0 }

// UpdateSince returns what became of the names as an update from an earlier
// revision of another host.
func (d *Directory) UpdateSince(from pimentospread.ObjectVersion, names []pimentospread.RegistrationName) Update {
	u := Update{From: from, Revision: d.revision}
	for _, name := range names {
		if e, ok := d.entries[name]; ok && !e.missing {
			u.Present = append(u.Present, e.registration)
		} else {
			u.Removed = append(u.Removed, name)
		}
	}
	return u
}

// Grace returns how much longer missing entries are kept.
func (d *Directory) Grace(now time.Time) time.Duration { return max(d.graceUntil.Sub(now), 0) }

// ExtendGrace keeps missing entries at least for the given time.
func (d *Directory) ExtendGrace(now time.Time, grace time.Duration) {
	if until := now.Add(min(grace, d.config.ReturnGrace)); until.After(d.graceUntil) {
		d.graceUntil = until
	}
}

// PlatformReturned says that the platform was away for long enough for entries to
// lapse although their targets live.
func (d *Directory) PlatformReturned(now time.Time) { d.ExtendGrace(now, d.config.ReturnGrace) }

// Apply takes an update. An update that is older than the directory, or that
// leaves a gap, changes nothing.
func (d *Directory) Apply(now time.Time, u Update) []Change {
	if u.Revision < d.revision || !d.Covers(u) {
		return nil
	}
	d.revision = u.Revision
	var changes []Change
	present := make(map[pimentospread.RegistrationName]bool, len(u.Present))
	for _, r := range u.Present {
		present[r.Name] = true
		changes = d.put(changes, now, r)
	}
	for _, name := range u.Removed {
		changes = d.remove(changes, now, name)
	}
	if u.Full {
		for _, name := range d.names() {
			if !present[name] {
				changes = d.remove(changes, now, name)
			}
		}
	}
	return changes
}

func (d *Directory) put(changes []Change, now time.Time, r pimentospread.Registration) []Change {
	old, known := d.entries[r.Name]
	if known && !old.missing && old.same(now, r) {
		return changes
	}
	token := r.Token()
	if known && !old.missing {
		d.digest -= old.digest
	}
	e := entry{registration: r, token: token, digest: digestOf(r), warmUntil: now.Add(r.Warmup)}
	d.digest += e.digest
	d.entries[r.Name] = e
	delete(d.departed, token)
	if !known {
		d.order = nil
	}
	switch {
	case !known:
		return append(changes, Change{r, Added})
	case old.token != token:
		d.depart(now, old.registration)
		return append(changes, Change{r, Restarted})
	case old.missing:
		return append(changes, Change{r, Returned})
	case old.registration.Draining != r.Draining && r.Draining:
		return append(changes, Change{r, Draining})
	case old.registration.Draining != r.Draining:
		return append(changes, Change{r, Ready})
	}
	return append(changes, Change{r, Changed})
}

// same reports whether the registration says nothing new. A target reports its
// remaining warm-up again and again, and a list repeats it later.
func (e entry) same(now time.Time, r pimentospread.Registration) bool {
	if off := now.Add(r.Warmup).Sub(e.warmUntil); r.Warmup > 0 && off.Abs() > warmSlack {
		return false
	}
	held := e.registration
	held.Warmup, r.Warmup = 0, 0
	return held == r
}

func (d *Directory) remove(changes []Change, now time.Time, name pimentospread.RegistrationName) []Change {
	e, known := d.entries[name]
	if !known || e.missing {
		return changes
	}
	if now.Before(d.graceUntil) && !e.registration.Draining {
		e.missing = true
		d.digest -= e.digest
		d.entries[name] = e
		return append(changes, Change{e.registration, Missing})
	}
	d.digest -= e.digest
	return d.drop(changes, now, e.registration)
}

// digestOf returns the part of a registration in the digest. It leaves out the
// warm-up, which changes with the time.
func digestOf(r pimentospread.Registration) pimentospread.Digest {
	var room [192]byte
	b := append(room[:0], r.Name...)
	b = append(b, 0)
	b = append(b, r.Service...)
	b = append(b, 0)
	b = append(b, r.FailureDomain...)
	b = append(b, 0)
	b = r.Address.AppendTo(b)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Instance))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Born))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Slots))
	b = strconv.AppendBool(b, r.Draining)
	return pimentospread.Digest(xxhash.Sum64(b))
}

func (d *Directory) drop(changes []Change, now time.Time, r pimentospread.Registration) []Change {
	delete(d.entries, r.Name)
	d.order = nil
	d.depart(now, r)
	return append(changes, Change{r, Gone})
}

func (d *Directory) depart(now time.Time, r pimentospread.Registration) {
	d.departed[r.Token()] = departed{r, now.Add(d.config.DepartedRetention)}
}

// Tick ends the grace of missing entries and forgets targets that went long ago.
func (d *Directory) Tick(now time.Time) []Change {
	for t, gone := range d.departed {
		if now.After(gone.until) {
			delete(d.departed, t)
		}
	}
	if now.Before(d.graceUntil) {
		return nil
	}
	var changes []Change
	for _, name := range d.names() {
		if e := d.entries[name]; e.missing {
			changes = d.drop(changes, now, e.registration)
		}
	}
	return changes
}

// NextTick returns when Tick has something to do, or the zero time.
func (d *Directory) NextTick() time.Time {
	var next time.Time
	for _, gone := range d.departed {
		if next.IsZero() || gone.until.Before(next) {
			next = gone.until
		}
	}
	for _, e := range d.entries {
		if e.missing && (next.IsZero() || d.graceUntil.Before(next)) {
			next = d.graceUntil
		}
	}
	return next
}

// Target is a target as the directory believes it to be.
type Target struct {
	Registration pimentospread.Registration
	Token        pimentospread.Token
	// WarmUntil is the end of the time in which the target is slow after its start.
	WarmUntil time.Time
	// Departed says that the target has gone; only its flows are still steered to it.
	Departed bool
}

// Targets returns all targets in the order of their names, those that have gone last.
func (d *Directory) Targets() []Target {
	targets := make([]Target, 0, len(d.entries)+len(d.departed))
	for _, name := range d.names() {
		e := d.entries[name]
		targets = append(targets, Target{Registration: e.registration, Token: e.token, WarmUntil: e.warmUntil})
	}
	for t, gone := range d.departed {
		targets = append(targets, Target{Registration: gone.registration, Token: t, Departed: true})
	}
	return targets
}

// Snapshot returns the registrations as a full update, for a host that knows nothing.
func (d *Directory) Snapshot() Update {
	u := Update{Full: true, Revision: d.revision, Present: make([]pimentospread.Registration, 0, len(d.entries))}
	for _, name := range d.names() {
		if e := d.entries[name]; !e.missing {
			u.Present = append(u.Present, e.registration)
		}
	}
	return u
}

// names returns the names in order. It is not changed later.
func (d *Directory) names() []pimentospread.RegistrationName {
	if d.order == nil {
		d.order = slices.Sorted(maps.Keys(d.entries))
	}
	return d.order
}
