package dissemination

import (
	"cmp"
	"slices"

	"pimentospread"
)

// keptChanges bounds the changes of a set that are kept for subscribers that
// missed some. One that missed more gets the whole set.
const keptChanges = 64

// changeLog remembers what changed in a set, by the names of its members. A
// state of the set is known by its digest and not by the platform's revision:
// another host may have listed at a revision that this one never stood at, and
// hold a member that came and went between two revisions of this host.
type changeLog[N cmp.Ordered] struct {
	// last is the number of the newest change; the first one has 1.
	last uint64
	kept []change[N]
}

type change[N cmp.Ordered] struct {
	// before is the digest of the set that the change began at.
	before pimentospread.Digest
	names  []N
}

// mark is a state of a set by the number of its last change.
type mark struct {
	number uint64
	known  bool
}

func (l *changeLog[N]) add(before pimentospread.Digest, names []N) {
	l.last++
	l.kept = append(l.kept, change[N]{before, names})
	if n := len(l.kept) - keptChanges; n > 0 {
		l.kept = slices.Delete(l.kept, 0, n)
	}
}

// newest returns the mark of the present state.
func (l *changeLog[N]) newest() mark { return mark{l.last, true} }

// find returns the mark of the state with the digest, the newest if there are several.
func (l *changeLog[N]) find(present, digest pimentospread.Digest) mark {
	if digest == present {
		return l.newest()
	}
	for i := len(l.kept) - 1; i >= 0; i-- {
		if l.kept[i].before == digest {
			return mark{l.last - uint64(len(l.kept)-i), true}
		}
	}
	return mark{}
}

// after returns the names of what changed after a state, and false when that is not known.
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
