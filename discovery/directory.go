// Package discovery keeps the registrations of the targets at the platform: which
// targets exist, which are draining, and which have departed.
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

// Config sets how long a directory keeps targets that the platform no longer lists.
type Config struct {
	// DepartedRetention is how long a departed target stays known, so that packets
	// of its flows still reach it if it runs. It is the maximum lifetime of a flow.
	DepartedRetention time.Duration
	// ReturnGrace is how long entries that are missing after a platform outage are
	// kept. Targets that still run register again within this time.
	ReturnGrace time.Duration
}

// warmupTolerance is the difference between two reported ends of a warm-up that is
// ignored. It covers a heartbeat interval and a round trip to the platform.
const warmupTolerance = time.Second

// Directory holds the registrations at one revision of the platform. It never goes
// back to an earlier revision. It is not safe for concurrent use.
type Directory struct {
	config   Config
	revision pimentospread.ObjectVersion
	entries  map[pimentospread.RegistrationName]entry
	departed map[pimentospread.Token]departed
	// sortedNames caches the names of entries. It is nil after a name was added or
	// removed.
	sortedNames []pimentospread.RegistrationName
	// graceUntil is the time until which missing entries are kept.
	graceUntil time.Time
	// restore holds what a restore of the platform's store may bring back.
	restore restore
	// digest is the digest of the entries that are not missing.
	digest pimentospread.Digest
}

// emptyDigest is the digest of an empty directory. It is not zero, because hosts
// of earlier releases, which have no digests, send zero.
const emptyDigest pimentospread.Digest = 1

// entry is a registration with values derived from it.
type entry struct {
	registration pimentospread.Registration
	token        pimentospread.Token
	digest       pimentospread.Digest
	warmUntil    time.Time
	// since is when this process of the target was first listed.
	since time.Time
	// missing is set while an entry that the platform no longer lists is kept for
	// the grace period.
	missing bool
}

// departed is a target whose registration was removed.
type departed struct {
	registration pimentospread.Registration
	// until is when the target is dropped.
	until time.Time
}

// New returns an empty directory.
func New(c Config) *Directory {
	return &Directory{
		config:   c,
		digest:   emptyDigest,
		entries:  map[pimentospread.RegistrationName]entry{},
		departed: map[pimentospread.Token]departed{},
		restore:  restore{withheld: map[pimentospread.RegistrationName]pimentospread.Registration{}},
	}
}

// Revision returns the revision of the platform that the directory is at. Zero
// means that no update was applied yet.
func (d *Directory) Revision() pimentospread.ObjectVersion { return d.revision }

// Digest returns the digest of the registrations that the platform lists.
func (d *Directory) Digest() pimentospread.Digest { return d.digest }

// Len returns the number of registered targets.
func (d *Directory) Len() int { return len(d.entries) }

// InDomain returns the number of registered targets in the failure domain.
func (d *Directory) InDomain(domain pimentospread.FailureDomain) int {
	n := 0
	for _, e := range d.entries {
		if e.registration.FailureDomain == domain {
			n++
		}
	}
	return n
}

// Accepts reports whether Apply applies the update.
func (d *Directory) Accepts(u Update) bool { return u.Revision >= d.revision && d.Covers(u) }

// Covers reports whether the update leaves no gap: it is full, or it starts at or
// before the directory's revision.
func (d *Directory) Covers(u Update) bool { return u.Full || u.From <= d.revision && d.revision > 0 }

// UpdateSince returns an update with the current state of the given names, for
// another host whose directory is at an earlier revision.
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

// HasMissing reports whether entries are kept that the platform no longer lists.
func (d *Directory) HasMissing() bool {
	for _, e := range d.entries {
		if e.missing {
			return true
		}
	}
	return false
}

// Grace returns the remaining time for which missing entries are kept.
func (d *Directory) Grace(now time.Time) time.Duration { return max(d.graceUntil.Sub(now), 0) }

// ExtendGrace keeps missing entries for at least the given time, but not longer
// than ReturnGrace from now.
func (d *Directory) ExtendGrace(now time.Time, grace time.Duration) {
	if until := now.Add(min(grace, d.config.ReturnGrace)); until.After(d.graceUntil) {
		d.graceUntil = until
	}
}

// PlatformReturned starts the grace period. It is called after a platform outage
// that was long enough for the registrations of running targets to expire.
func (d *Directory) PlatformReturned(now time.Time) { d.ExtendGrace(now, d.config.ReturnGrace) }

// Apply applies an update and returns the changes of targets. It ignores an update
// that is older than the directory or that leaves a gap.
//
// A store that was restored from an older copy lacks targets that have registered since,
// until they register again, and lists targets as ready that are draining or have departed
// since, until they register again or their entries expire. The first update after a restore
// therefore starts the grace period, and for twice as long only a watch makes such a target
// ready again. What is then still listed is applied.
func (d *Directory) Apply(now time.Time, u Update) []Change {
	if !d.Accepts(u) {
		return nil
	}
	if d.revision > 0 && u.Revision.Era() > d.revision.Era() {
		d.ExtendGrace(now, d.config.ReturnGrace)
		d.restore.begin(now.Add(2*d.config.ReturnGrace), d.leaving())
	}
	if u.Full {
		clear(d.restore.withheld)
	}
	d.revision = u.Revision
	var changes []Change
	present := make(map[pimentospread.RegistrationName]bool, len(u.Present))
	for _, r := range u.Present {
		if !u.Watched && d.restore.withholds(now, r) {
			present[r.Name] = d.entries[r.Name].token == r.Token()
			changes = append(changes, Change{r, Outdated})
			continue
		}
		present[r.Name] = true
		delete(d.restore.withheld, r.Name)
		changes = d.put(changes, now, r)
	}
	for _, name := range u.Removed {
		delete(d.restore.withheld, name)
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

// leaving returns the tokens of the targets that are draining or have departed.
func (d *Directory) leaving() map[pimentospread.Token]bool {
	tokens := make(map[pimentospread.Token]bool, len(d.departed))
	for token := range d.departed {
		tokens[token] = true
	}
	for _, e := range d.entries {
		if e.registration.Draining {
			tokens[e.token] = true
		}
	}
	return tokens
}

// put adds or replaces a registration and appends the change, if any.
func (d *Directory) put(changes []Change, now time.Time, r pimentospread.Registration) []Change {
	old, known := d.entries[r.Name]
	if known && !old.missing && old.same(now, r) {
		return changes
	}
	token := r.Token()
	if known && !old.missing {
		d.digest -= old.digest
	}
	e := entry{registration: r, token: token, digest: digestOf(r), warmUntil: now.Add(r.Warmup), since: now}
	if known && old.token == token {
		e.since = old.since
	}
	d.digest += e.digest
	d.entries[r.Name] = e
	delete(d.departed, token)
	if !known {
		d.sortedNames = nil
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

// same reports whether the registration equals that of the entry. Two remaining
// warm-up times are equal if they end at about the same time, because the
// remaining time decreases from one report to the next.
func (e entry) same(now time.Time, r pimentospread.Registration) bool {
	if difference := now.Add(r.Warmup).Sub(e.warmUntil); r.Warmup > 0 && difference.Abs() > warmupTolerance {
		return false
	}
	current := e.registration
	current.Warmup, r.Warmup = 0, 0
	return current == r
}

// remove marks an entry as missing during the grace period, and drops it otherwise.
// A draining target is dropped at once, because it was about to stop.
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

// digestOf returns the hash of a registration that is summed up in the digest. It
// excludes the warm-up, which changes over time.
func digestOf(r pimentospread.Registration) pimentospread.Digest {
	var buffer [192]byte
	b := append(buffer[:0], r.Name...)
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

// drop removes the entry of a target and keeps the target as departed.
func (d *Directory) drop(changes []Change, now time.Time, r pimentospread.Registration) []Change {
	delete(d.entries, r.Name)
	d.sortedNames = nil
	d.depart(now, r)
	return append(changes, Change{r, Departed})
}

// depart keeps a target as departed for DepartedRetention.
func (d *Directory) depart(now time.Time, r pimentospread.Registration) {
	d.departed[r.Token()] = departed{r, now.Add(d.config.DepartedRetention)}
}

// Tick drops departed targets after DepartedRetention, applies what was withheld after a
// restore, and drops entries that were still missing when the platform last confirmed the
// directory after the grace period. While the platform is away, targets cannot register
// again. Tick returns the changes.
func (d *Directory) Tick(now, confirmed time.Time) []Change {
	for token, target := range d.departed {
		if now.After(target.until) {
			delete(d.departed, token)
		}
	}
	var changes []Change
	for _, r := range d.restore.end(now) {
		changes = d.put(changes, now, r)
	}
	if confirmed.Before(d.graceUntil) {
		return changes
	}
	for _, name := range d.names() {
		if e := d.entries[name]; e.missing {
			changes = d.drop(changes, now, e.registration)
		}
	}
	return changes
}

// NextTick returns when Tick must be called next. The zero time means never.
func (d *Directory) NextTick() time.Time {
	var next time.Time
	for _, target := range d.departed {
		if next.IsZero() || target.until.Before(next) {
			next = target.until
		}
	}
	for _, e := range d.entries {
		if e.missing && (next.IsZero() || d.graceUntil.Before(next)) {
			next = d.graceUntil
		}
	}
	if len(d.restore.withheld) > 0 && (next.IsZero() || d.restore.until.Before(next)) {
		next = d.restore.until
	}
	return next
}

// Snapshot returns the registrations as a full update.
func (d *Directory) Snapshot() Update {
	u := Update{Full: true, Revision: d.revision, Present: make([]pimentospread.Registration, 0, len(d.entries))}
	for _, name := range d.names() {
		if e := d.entries[name]; !e.missing {
			u.Present = append(u.Present, e.registration)
		}
	}
	return u
}

// names returns the sorted names of the entries. The slice is never modified.
func (d *Directory) names() []pimentospread.RegistrationName {
	if d.sortedNames == nil {
		d.sortedNames = slices.Sorted(maps.Keys(d.entries))
	}
	return d.sortedNames
}
