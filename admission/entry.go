package admission

import (
	"time"

	"pimentospread"
)

// entry is one waiting request. It is linked into the queue of its caller.
type entry struct {
	work     pimentospread.Work
	sequence uint64
	expiry   time.Time
	// place is the index in the expiry heap.
	place      int
	caller     *callerQueue
	prev, next *entry
}

// expiryHeap orders entries by the time at which they wait too long.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].expiry.Equal(h[j].expiry) {
		return h[i].expiry.Before(h[j].expiry)
	}
	return h[i].sequence < h[j].sequence
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push appends an entry; container/heap calls it.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.place = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry; container/heap calls it.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
