package evacuation

import (
	"maps"
	"slices"
	"time"

	"pimentospread"
)

// Snapshot is the set of a host as it is passed on to another one. Without content it confirms
// that the set with the digest is that of the revision.
type Snapshot struct {
	Revision pimentospread.ObjectVersion `msgpack:"Revision"`
	Digest   pimentospread.Digest        `msgpack:"Digest"`
	// Grace is how much longer the domains stay evacuated that a restored store does not list.
	Grace time.Duration `msgpack:"Grace"`
	// Content is nil if the receiver has the set already.
	Content *Content `msgpack:"Content"`
	// Outlived is set if the sender had a set before the last restore of the store.
	Outlived bool `msgpack:"Outlived"`
}

// Content holds the failure domains of a snapshot.
type Content struct {
	Listed []pimentospread.FailureDomain `msgpack:"Listed"`
	// Withheld holds the domains that a restored store does not list.
	Withheld []pimentospread.FailureDomain `msgpack:"Withheld"`
}

// Validate checks what a peer sent.
func (s *Snapshot) Validate() error {
	if s.Grace < 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("evacuations with grace %s, want no negative duration", s.Grace), "decode", "")
	}
	if c := s.Content; c != nil && (slices.Contains(c.Listed, "") || slices.Contains(c.Withheld, "")) {
		return pimentospread.At(pimentospread.ErrInvalid.New("evacuated failure domain has no name"), "decode", "")
	}
	return nil
}

// Snapshot returns the set for a host whose set has the given digest.
func (s *Set) Snapshot(now time.Time, digest pimentospread.Digest) Snapshot {
	snapshot := Snapshot{Revision: s.revision, Digest: s.Digest(), Outlived: s.outlived}
	for _, until := range s.withheld {
		snapshot.Grace = max(snapshot.Grace, until.Sub(now))
	}
	if snapshot.Digest != digest {
		snapshot.Content = &Content{Listed: slices.Sorted(maps.Keys(s.listed)), Withheld: slices.Sorted(maps.Keys(s.withheld))}
	}
	return snapshot
}

// ApplySnapshot applies the set of another host and returns the changes. A snapshot without
// content whose digest differs is ignored; the next subscription requests the content.
func (s *Set) ApplySnapshot(now time.Time, snapshot Snapshot) []Change {
	content := snapshot.Content
	switch {
	case snapshot.Revision < s.revision || snapshot.Revision == 0:
		return nil
	case content == nil && (s.revision == 0 || snapshot.Digest != s.Digest()):
		return nil
	case content == nil:
		content = &Content{Listed: slices.Collect(maps.Keys(s.listed)), Withheld: slices.Collect(maps.Keys(s.withheld))}
	}
	before := s.Domains()
	listed, withheld := map[pimentospread.FailureDomain]bool{}, map[pimentospread.FailureDomain]time.Time{}
	for _, domain := range content.Listed {
		listed[domain] = true
	}
	restored := s.revision > 0 && snapshot.Revision.Era() > s.revision.Era()
	if restored || s.revision == 0 {
		s.graceEnd = now.Add(s.returnGrace)
	}
	if rest := min(snapshot.Grace, s.graceEnd.Sub(now)); rest > 0 {
		for _, domain := range content.Withheld {
			withheld[domain] = now.Add(rest)
		}
	}
	if !snapshot.Outlived {
		// The sender started after the restore and has no record of what the restored store lacks.
		s.withhold(now, restored, listed, withheld)
	}
	s.outlived = snapshot.Outlived || restored || s.outlived
	s.revision, s.listed, s.withheld = snapshot.Revision, listed, withheld
	return difference(before, s.Domains())
}

// withhold adds to withheld the domains that are withheld already, and those listed before a
// restore, unless they are listed after it.
func (s *Set) withhold(now time.Time, restored bool, listed map[pimentospread.FailureDomain]bool, withheld map[pimentospread.FailureDomain]time.Time) {
	keep := maps.Clone(s.withheld)
	if restored {
		keep = map[pimentospread.FailureDomain]time.Time{}
		for domain := range s.Domains() {
			keep[domain] = now.Add(s.returnGrace)
		}
	}
	for domain, until := range keep {
		if _, known := withheld[domain]; !known && !listed[domain] {
			withheld[domain] = until
		}
	}
}
