package dissemination

import "pimentospread"

// SourceTracker tracks where the state of a set last came from, and since which
// revision it came from that source alone. The changes that a host sends leave out
// members that were added and removed after the revision that they start from. If
// the set was updated from another source meanwhile, it may hold such a member, so
// changes that start before that update must not be applied.
type SourceTracker struct {
	// source is the host that the state came from. It is empty for the platform.
	source pimentospread.HostID
	// since is the revision since which the state came from the source alone.
	since pimentospread.ObjectVersion
}

// ReadPlatform records that the set was read from the platform at the revision.
func (t *SourceTracker) ReadPlatform(revision pimentospread.ObjectVersion) {
	*t = SourceTracker{since: revision}
}

// Accept reports whether an update from a host can be applied to a set at the given
// current revision, and records the host as the source if so.
func (t *SourceTracker) Accept(source pimentospread.HostID, full bool, from, current pimentospread.ObjectVersion) bool {
	since := t.since
	if source != t.source {
		since = current
	}
	switch {
	case full:
		since = current
	case current == 0 || from > current || from < since:
		return false
	}
	*t = SourceTracker{source: source, since: since}
	return true
}
