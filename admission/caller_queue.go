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
	// turn is the caller's element in the round of its class.
	turn *list.Element
	// place is the index in the length heap of its class.
	place int
	// since is the sequence of the entry that created the queue. It breaks ties between equal lengths.
	since uint64
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

// lengthHeap has the caller with the most waiting requests first.
type lengthHeap []*callerQueue

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool {
	if h[i].length != h[j].length {
		return h[i].length > h[j].length
	}
	return h[i].since < h[j].since
}

func (h lengthHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push appends a caller; container/heap calls it.
func (h *lengthHeap) Push(x any) {
	c := x.(*callerQueue)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop removes the last caller; container/heap calls it.
func (h *lengthHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
