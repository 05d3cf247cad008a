package dissemination

import "pimentospread"

// Lineage says from whom the state of a set was last heard, and since when from
// it alone. The changes that a host sends hold for a state it knows of: a
// member that came and went since then is not among them. So changes that begin
// before the state was heard from another side cannot be applied.
type Lineage struct {
	source pimentospread.HostID
	since  pimentospread.ObjectVersion
}

// Read says that the platform itself told the state at the revision.
func (l *Lineage) Read(revision pimentospread.ObjectVersion) {
	*l = Lineage{since: revision}
}

// Take reports whether the update of a host can be applied to a set at the
// revision held, and goes on from it if so.
func (l *Lineage) Take(source pimentospread.HostID, full bool, from, held pimentospread.ObjectVersion) bool {
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
	*l = Lineage{source: source, since: since}
	return true
}
