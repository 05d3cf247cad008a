package dissemination

import "pimentospread"

// SourceTracker says from whom the state of a set was last heard, and since when from
// it alone. The changes that a host sends hold for a state it knows of: a
// member that came and went since then is not among them. So changes that begin
// before the state was heard from another side cannot be applied.
type SourceTracker struct {
	source pimentospread.HostID
	since  pimentospread.ObjectVersion
}

// ReadPlatform says that the platform itself told the state at the revision.
func (l *SourceTracker) ReadPlatform(revision pimentospread.ObjectVersion) {
	*l = SourceTracker{since: revision}
}

// Accept reports whether the update of a host can be applied to a set at the
// revision held, and goes on from it if so.
func (l *SourceTracker) Accept(source pimentospread.HostID, full bool, from, held pimentospread.ObjectVersion) bool {
	since := l.since
	if source != l.source {
		since = held
	}
	switch {
	case full:
		since = held
	case held == 0 || from > held || from < since:
		return false
	}
	*l = SourceTracker{source: source, since: since}
	return true
}
