package admission

import (
	"time"

	"pimentospread"
)

// entry is a waiting request and an element of its caller's linked list.
type entry struct {
	work     pimentospread.Work
	sequence uint64
	expiry   time.Time
	// heapIndex is the index in the expiry heap.
	heapIndex  int
	caller     *callerQueue
	prev, next *entry
}

// expiryHeap is a min-heap of the entries by their expiry.
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
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
