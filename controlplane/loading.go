package controlplane

import (
	"slices"

	"pimentospread"
)

// maxLoading bounds the views that wait for a slow decider.
const maxLoading = 256

// loading follows which views the deciders go by. What a host acknowledges to
// its peers must be true of its deciders, not only of its control duty.
type loading struct {
	sequences   []uint64
	generations []pimentospread.Generation
	// waiting are the views that not every decider goes by, oldest first.
	waiting []listed
	// lists are the versions of the reporters' lists that every decider goes by.
	lists map[pimentospread.HostID]uint64
	// last are the versions in the newest view.
	last map[pimentospread.HostID]uint64
}

// listed is what a view has taken over from the reporters of down targets.
type listed struct {
	sequence uint64
	lists    map[pimentospread.HostID]uint64
}

func newLoading(deciders int) loading {
	return loading{
		sequences:   make([]uint64, deciders),
		generations: make([]pimentospread.Generation, deciders),
		lists:       map[pimentospread.HostID]uint64{},
	}
}

// published notes a view that goes to the deciders.
func (l *loading) published(sequence uint64, lists map[pimentospread.HostID]uint64) {
	if len(l.waiting) == maxLoading {
		l.waiting = l.waiting[1:]
	}
	l.waiting = append(l.waiting, listed{sequence, lists})
	l.last = lists
	l.settle()
}

// loaded takes the report of a decider.
func (l *loading) loaded(e ViewLoaded) {
	if e.Worker < 0 || e.Worker >= len(l.sequences) {
		return
	}
	l.sequences[e.Worker] = max(l.sequences[e.Worker], e.Sequence)
	l.generations[e.Worker] = max(l.generations[e.Worker], e.Prepared)
	l.settle()
}

func (l *loading) settle() {
	for len(l.waiting) > 0 {
		first := l.waiting[0]
		if slices.ContainsFunc(l.sequences, func(s uint64) bool { return s < first.sequence }) {
			return
		}
		l.lists, l.waiting = first.lists, l.waiting[1:]
	}
}

// prepared reports whether every decider has prepared the generation.
func (l *loading) prepared(g pimentospread.Generation) bool {
	return !slices.ContainsFunc(l.generations, func(n pimentospread.Generation) bool { return n < g })
}
