// Package evacuation holds the failure domains that operators have taken out of service for new
// flows.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Set holds the evacuated failure domains at one revision of the platform. It never goes back
// to an earlier revision. It is not safe for concurrent use.
type Set struct {
	// returnGrace is how long domains stay evacuated that a restored store does not list.
	returnGrace time.Duration
	revision    pimentospread.ObjectVersion
	// listed holds the domains that the platform lists. It is replaced and never changed in
	// place, as withheld is.
	listed map[pimentospread.FailureDomain]bool
	// withheld holds the domains that the platform listed before it was restored from an older
	// copy, until a time at which operators have written them again.
	withheld map[pimentospread.FailureDomain]time.Time
	// graceEnd is the end of the grace period since the last restore that this host noticed, or
	// since its start. What other hosts withhold ends by then too: two hosts that follow each
	// other would otherwise prolong it by the time that each message is in transit.
	graceEnd time.Time
	// outlived is set if the set, or one that it was copied from, is older than the last restore
	// of the store. Only then are its withheld domains all that the restored store may lack.
	outlived bool
}

// Update holds all evacuated failure domains, or those that changed after a revision.
type Update struct {
	// Full is set if the update holds all domains. Otherwise it holds those that changed after
	// From.
	Full     bool
	From     pimentospread.ObjectVersion
	Revision pimentospread.ObjectVersion
	// Present and Removed hold the domains with and without an evacuation.
	Present, Removed []pimentospread.FailureDomain
}

// Change is a failure domain that was evacuated or returned to service.
type Change struct {
	FailureDomain pimentospread.FailureDomain
	Evacuated     bool
}

// New returns a set that has no revision yet.
func New(returnGrace time.Duration) *Set { return &Set{returnGrace: returnGrace} }

// Revision returns the revision of the platform that the set is at. Zero means that no update
// was applied yet.
func (s *Set) Revision() pimentospread.ObjectVersion { return s.revision }

// Domains returns the evacuated failure domains. The map is never modified.
func (s *Set) Domains() map[pimentospread.FailureDomain]bool {
	if len(s.withheld) == 0 {
		return s.listed
	}
	domains := maps.Clone(s.listed)
	for domain := range s.withheld {
		domains[domain] = true
	}
	return domains
}

// Accepts reports whether Apply applies the update: it is not older than the set, and it leaves
// no gap.
func (s *Set) Accepts(u Update) bool {
	return u.Revision >= s.revision && (u.Full || s.revision > 0 && u.From <= s.revision)
}

// Apply applies an update from the platform and returns the changes. A store that was restored
// from an older copy may lack evacuations until operators write them again, so the domains that
// the first list after a restore lacks stay evacuated for the grace period.
func (s *Set) Apply(now time.Time, u Update) []Change {
	if !s.Accepts(u) {
		return nil
	}
	before := s.Domains()
	restored := s.revision > 0 && u.Revision.Era() > s.revision.Era()
	listed, withheld := map[pimentospread.FailureDomain]bool{}, map[pimentospread.FailureDomain]time.Time{}
	maps.Copy(withheld, s.withheld)
	if !u.Full {
		maps.Copy(listed, s.listed)
	}
	for _, domain := range u.Present {
		listed[domain] = true
		delete(withheld, domain)
	}
	for _, domain := range u.Removed {
		delete(listed, domain)
		delete(withheld, domain)
	}
	s.outlived = restored || s.outlived
	if restored || s.revision == 0 {
		s.graceEnd = now.Add(s.returnGrace)
	}
	if restored {
		for domain := range s.listed {
			if !listed[domain] {
				withheld[domain] = now.Add(s.returnGrace)
			}
		}
	}
	s.revision, s.listed, s.withheld = u.Revision, listed, withheld
	return difference(before, s.Domains())
}

// Tick returns the domains to service whose grace period is over.
func (s *Set) Tick(now time.Time) []Change {
	if len(s.withheld) == 0 {
		return nil
	}
	before, withheld := s.Domains(), maps.Clone(s.withheld)
	maps.DeleteFunc(withheld, func(_ pimentospread.FailureDomain, until time.Time) bool { return !now.Before(until) })
	s.withheld = withheld
	return difference(before, s.Domains())
}

// Digest returns the digest of the domains that the platform lists and of those withheld. It is
// never zero, which stands for a host that has no set.
func (s *Set) Digest() pimentospread.Digest {
	digest := pimentospread.Digest(1)
	for domain := range s.listed {
		digest += pimentospread.Digest(xxhash.Sum64String("listed " + string(domain)))
	}
	for domain := range s.withheld {
		digest += pimentospread.Digest(xxhash.Sum64String("withheld " + string(domain)))
	}
	return digest
}

// difference returns the changes between two sets, sorted by domain.
func difference(before, after map[pimentospread.FailureDomain]bool) []Change {
	var changes []Change
	for domain := range after {
		if !before[domain] {
			changes = append(changes, Change{domain, true})
		}
	}
	for domain := range before {
		if !after[domain] {
			changes = append(changes, Change{domain, false})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(string(a.FailureDomain), string(b.FailureDomain)) })
	return changes
}
