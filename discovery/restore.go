package discovery

import (
	"maps"
	"slices"
	"time"

	"pimentospread"
)

// restore withholds registrations that the platform's store may have from an older copy.
type restore struct {
	// until is the time by which targets that run have registered again and the entries of
	// the others have expired.
	until time.Time
	// leaving holds the targets that were draining or had departed before the restore.
	leaving map[pimentospread.Token]bool
	// withheld are registrations that make such a target ready, as last listed.
	withheld map[pimentospread.RegistrationName]pimentospread.Registration
}

// begin starts to withhold registrations of targets that were leaving.
func (s *restore) begin(until time.Time, leaving map[pimentospread.Token]bool) {
	s.until, s.leaving = until, leaving
	clear(s.withheld)
}

// withholds reports whether the registration is withheld, and keeps it if so.
func (s *restore) withholds(now time.Time, r pimentospread.Registration) bool {
	if r.Draining || !now.Before(s.until) || !s.leaving[r.Token()] {
		return false
	}
	s.withheld[r.Name] = r
	return true
}

// end returns the withheld registrations once their time is over, sorted by name. The
// targets are still listed, so they run.
func (s *restore) end(now time.Time) []pimentospread.Registration {
	if now.Before(s.until) || s.leaving == nil {
		return nil
	}
	var list []pimentospread.Registration
	for _, name := range slices.Sorted(maps.Keys(s.withheld)) {
		list = append(list, s.withheld[name])
	}
	clear(s.withheld)
	s.leaving = nil
	return list
}
