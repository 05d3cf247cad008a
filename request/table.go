package request

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"pimentospread"
)

// Table holds the requests that a host handles or remembers, and the times at which they are due.
type Table struct {
	entries map[pimentospread.RequestID]*Entry
	timers  timerHeap
	serial  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[pimentospread.RequestID]*Entry{}}
}

// Find returns the entry of a request, or nil.
func (t *Table) Find(id pimentospread.RequestID) *Entry { return t.entries[id] }

// Add adds a new entry. It is due at its deadline and again at the end of its retention.
func (t *Table) Add(e *Entry) {
	t.entries[e.Request.ID] = e
	t.Schedule(e.Request.ID, e.Request.Deadline)
	t.Schedule(e.Request.ID, e.Request.Deadline.Add(Retention))
}

// Remove removes an entry.
func (t *Table) Remove(id pimentospread.RequestID) { delete(t.entries, id) }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Unfinished returns the requests on which this host still works, in the
// order of their IDs.
func (t *Table) Unfinished() []*Entry {
	var open []*Entry
	for _, e := range t.entries {
		if e.InProgress() {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b *Entry) int {
		x, y := a.Request.ID, b.Request.ID
		return cmp.Or(cmp.Compare(x.Caller, y.Caller), cmp.Compare(x.Sequence, y.Sequence))
	})
	return open
}

// Schedule makes the request due at the given time, in addition to earlier times.
func (t *Table) Schedule(id pimentospread.RequestID, at time.Time) {
	t.serial++
	heap.Push(&t.timers, timer{at: at, serial: t.serial, id: id})
}

// PopDue returns a request that is due and removes the timer that made it due.
func (t *Table) PopDue(now time.Time) (*Entry, bool) {
	for len(t.timers) > 0 && !t.timers[0].at.After(now) {
		next, _ := heap.Pop(&t.timers).(timer)
		if e := t.entries[next.id]; e != nil {
			return e, true
		}
	}
	return nil, false
}

// timer is a time at which a request is due. The serial orders equal times, so
// that a replay handles them in the same order.
type timer struct {
	at     time.Time
	serial uint64
	id     pimentospread.RequestID
}

// timerHeap is a min-heap of timers by time and serial.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) {
	if v, ok := x.(timer); ok {
		*h = append(*h, v)
	}
}

func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
