package controlplane

import (
	"slices"

	"pimentospread"
)

// maxPendingViews limits the views that wait for a slow data-plane worker.
const maxPendingViews = 256

// loadTracker tracks which views the data-plane workers have loaded. A host may
// acknowledge a list to its peers only when all its workers use it.
type loadTracker struct {
	sequences   []uint64
	generations []pimentospread.Generation
	// pending are the views that some worker has not loaded yet, oldest first.
	pending []pendingView
	// loadedLists are the versions of the reporters' lists that all workers use.
	loadedLists map[pimentospread.HostID]uint64
	// newestLists are the list versions of the newest view.
	newestLists map[pimentospread.HostID]uint64
}

// pendingView holds the versions of the reporters' lists that a view is based on.
type pendingView struct {
	sequence uint64
	lists    map[pimentospread.HostID]uint64
}

func newLoadTracker(workers int) loadTracker {
	return loadTracker{
		sequences:   make([]uint64, workers),
		generations: make([]pimentospread.Generation, workers),
		loadedLists: map[pimentospread.HostID]uint64{},
	}
}

// viewPublished records a view that is sent to the workers.
func (l *loadTracker) viewPublished(sequence uint64, lists map[pimentospread.HostID]uint64) {
	if len(l.pending) == maxPendingViews {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, pendingView{sequence, lists})
	l.newestLists = lists
	l.completeLoaded()
}

// viewLoaded records that a worker has loaded a view or prepared a generation.
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

// allPrepared reports whether all workers have prepared the generation.
func (l *loadTracker) allPrepared(g pimentospread.Generation) bool {
	return !slices.ContainsFunc(l.generations, func(n pimentospread.Generation) bool { return n < g })
}
