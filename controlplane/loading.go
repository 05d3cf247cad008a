package controlplane

import (
	"slices"

	"pimentospread"
)

// maxPendingViews bounds the views that wait for a slow decider.
const maxPendingViews = 256

// loadTracker follows which views the deciders go by. What a host acknowledges to
// its peers must be true of its deciders, not only of its control duty.
type loadTracker struct {
	sequences   []uint64
	generations []pimentospread.Generation
	// pending are the views that not every decider goes by, oldest first.
	pending []pendingView
	// loadedLists are the versions of the reporters' loadedLists that every decider goes by.
	loadedLists map[pimentospread.HostID]uint64
	// newestLists are the versions in the newest view.
	newestLists map[pimentospread.HostID]uint64
}

// pendingView is what a view has taken over from the reporters of down targets.
type pendingView struct {
	sequence uint64
	lists    map[pimentospread.HostID]uint64
}

func newLoadTracker(deciders int) loadTracker {
	return loadTracker{
		sequences:   make([]uint64, deciders),
		generations: make([]pimentospread.Generation, deciders),
		loadedLists: map[pimentospread.HostID]uint64{},
	}
}

// viewPublished notes a view that goes to the deciders.
func (l *loadTracker) viewPublished(sequence uint64, lists map[pimentospread.HostID]uint64) {
	if len(l.pending) == maxPendingViews {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, pendingView{sequence, lists})
	l.newestLists = lists
	l.completeLoaded()
}

// viewLoaded takes the report of a decider.
func (l *loadTracker) viewLoaded(e ViewLoaded) {
	if e.Worker < 0 || e.Worker >= len(l.sequences) {
		return
	}
	l.sequences[e.Worker] = max(l.sequences[e.Worker], e.Sequence)
	l.generations[e.Worker] = max(l.generations[e.Worker], e.Prepared)
	l.completeLoaded()
}

func (l *loadTracker) completeLoaded() {
	for len(l.pending) > 0 {
		first := l.pending[0]
		if slices.ContainsFunc(l.sequences, func(s uint64) bool { return s < first.sequence }) {
			return
		}
		l.loadedLists, l.pending = first.lists, l.pending[1:]
	}
}

// allPrepared reports whether every decider has allPrepared the generation.
func (l *loadTracker) allPrepared(g pimentospread.Generation) bool {
	return !slices.ContainsFunc(l.generations, func(n pimentospread.Generation) bool { return n < g })
}
