package request

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"pimentospread"
)

// Table holds the requests that a host knows, and the times at which they need attention.
type Table struct {
	entries map[pimentospread.RequestID]*Entry
	wakes   wakes
	serial  uint64
}

// NewTable returns an empty ledger.
func NewTable() *Table {
	return &Table{entries: map[pimentospread.RequestID]*Entry{}}
}

// Find returns the entry of a request, or nil.
func (l *Table) Find(id pimentospread.RequestID) *Entry { return l.entries[id] }

// Add keeps a new entry. It is due at its deadline and again when it may be forgotten.
func (l *Table) Add(e *Entry) {
	l.entries[e.Request.ID] = e
	l.Schedule(e.Request.ID, e.Request.Deadline)
	l.Schedule(e.Request.ID, e.Request.Deadline.Add(Retention))
}

// Remove removes an entry.
func (l *Table) Remove(id pimentospread.RequestID) { delete(l.entries, id) }

// Len returns the number of entries.
func (l *Table) Len() int { return len(l.entries) }

// Unfinished returns the requests on which this host still works, in the
// order of their identifiers.
func (l *Table) Unfinished() []*Entry {
	var open []*Entry
	for _, e := range l.entries {
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

// Schedule makes the request due at the given time, besides the times already set.
func (l *Table) Schedule(id pimentospread.RequestID, at time.Time) {
	l.serial++
	heap.Push(&l.wakes, wake{at: at, serial: l.serial, id: id})
}

// PopDue removes and returns a request whose time has come.
func (l *Table) PopDue(now time.Time) (*Entry, bool) {
	for len(l.wakes) > 0 && !l.wakes[0].at.After(now) {
		w, _ := heap.Pop(&l.wakes).(wake)
		if e := l.entries[w.id]; e != nil {
			return e, true
		}
	}
	return nil, false
}

// wake is a time at which a request is due. The serial orders equal times, so
// that a replay takes them in the same order.
type wake struct {
	at     time.Time
	serial uint64
	id     pimentospread.RequestID
}

type wakes []wake

func (w wakes) Len() int { return len(w) }

func (w wakes) Less(i, j int) bool {
	if w[i].at.Equal(w[j].at) {
		return w[i].serial < w[j].serial
	}
	return w[i].at.Before(w[j].at)
}

func (w wakes) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *wakes) Push(x any) {
	if v, ok := x.(wake); ok {
		*w = append(*w, v)
	}
}

func (w *wakes) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
