package dissemination

import (
	"cmp"
	"slices"

	"pimentospread"
)

// maxChanges limits the changes of a set that are kept for subscribers that missed
// some. A subscriber that missed more gets the whole set.
const maxChanges = 64

// changeLog records the recent changes of a set by the names of its members. It
// identifies a state of the set by its digest and not by the revision of the
// platform: another host may have listed at a revision that this host skipped, and
// may hold a member that was added and removed between two revisions of this host.
type changeLog[N cmp.Ordered] struct {
	// last is the number of the newest change; the first one has 1.
	last uint64
	kept []change[N]
}

// change is one change of a set.
type change[N cmp.Ordered] struct {
	// before is the digest of the set before the change.
	before pimentospread.Digest
	// names are the members that were added, changed or removed.
	names []N
}

// mark identifies a state of a set by the number of the last change before it.
type mark struct {
	number uint64
	// known is false for a state that is not in the log.
	known bool
}

// add records a change of the named members. The digest is that of the set before it.
func (l *changeLog[N]) add(before pimentospread.Digest, names []N) {
	l.last++
	l.kept = append(l.kept, change[N]{before, names})
	if n := len(l.kept) - maxChanges; n > 0 {
		l.kept = slices.Delete(l.kept, 0, n)
	}
}

// newest returns the mark of the current state.
func (l *changeLog[N]) newest() mark { return mark{l.last, true} }

// find returns the mark of the newest state with the given digest.
func (l *changeLog[N]) find(current, digest pimentospread.Digest) mark {
	if digest == current {
		return l.newest()
	}
	for i := len(l.kept) - 1; i >= 0; i-- {
		if l.kept[i].before == digest {
			return mark{l.last - uint64(len(l.kept)-i), true}
		}
	}
	return mark{}
}

// after returns the names of the members that changed after a state. It returns
// false if the log does not reach back that far.
func (l *changeLog[N]) after(m mark) ([]N, bool) {
	missed := l.last - m.number
	if !m.known || missed > uint64(len(l.kept)) {
		return nil, false
	}
	var names []N
	for _, c := range l.kept[len(l.kept)-int(missed):] {
		names = append(names, c.names...)
	}
	slices.Sort(names)
	return slices.Compact(names), true
}
