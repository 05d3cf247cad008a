package admission

import (
	"container/list"

	"pimentospread"
)

// callerQueue holds the waiting requests of one caller in one class, oldest first.
type callerQueue struct {
	id          pimentospread.CallerID
	class       *classQueue
	first, last *entry
	length      int
	// element is the caller's place in callerOrder of its class.
	element *list.Element
	// heapIndex is the index in the length heap of its class.
	heapIndex int
	// createdSequence is the sequence of the entry that created the queue. It orders queues of equal length.
	createdSequence uint64
}

func (c *callerQueue) append(e *entry) {
	e.caller, e.prev, e.next = c, c.last, nil
	if c.last == nil {
		c.first = e
	} else {
		c.last.next = e
	}
	c.last = e
	c.length++
}

func (c *callerQueue) unlink(e *entry) {
	if e.prev == nil {
		c.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		c.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	c.length--
}

// lengthHeap is a max-heap of the callers by the number of their waiting requests.
type lengthHeap []*callerQueue

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool {
	if h[i].length != h[j].length {
		return h[i].length > h[j].length
	}
	return h[i].createdSequence < h[j].createdSequence
}

func (h lengthHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *lengthHeap) Push(x any) {
	c := x.(*callerQueue)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *lengthHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
