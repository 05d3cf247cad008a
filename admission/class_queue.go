package admission

import (
	"container/heap"
	"container/list"

	"pimentospread"
	"pimentospread/policy"
)

// callerShare is the divisor of a class's queue length that gives the limit of
// one caller. At least four callers fit into a full class.
const callerShare = 4

// classQueue holds the waiting requests of one class and serves its callers round-robin.
type classQueue struct {
	rule policy.Class
	// floor is the share of turns that the class gets while more urgent work waits.
	floor float64
	// credit grows by floor with each turn of another class. At 1 the class gets a turn.
	credit  float64
	waiting int
	callers map[pimentospread.CallerID]*callerQueue
	// callerOrder holds the *callerQueue elements, the next to be served first.
	callerOrder *list.List
	byLength    lengthHeap
}

func newClassQueue(rule policy.Class) *classQueue {
	return &classQueue{rule: rule, callers: map[pimentospread.CallerID]*callerQueue{}, callerOrder: list.New()}
}

// callerLimit returns the maximum number of waiting requests of one caller.
func (c *classQueue) callerLimit() int {
	return max(1, (c.rule.QueueLength+callerShare-1)/callerShare)
}

// reservedPlaces returns the number of places that more urgent work cannot take from the class.
func (c *classQueue) reservedPlaces() int {
	return max(1, int(c.floor*float64(c.rule.QueueLength)))
}

// callerLength returns the number of waiting requests of the caller.
func (c *classQueue) callerLength(id pimentospread.CallerID) int {
	if q := c.callers[id]; q != nil {
		return q.length
	}
	return 0
}

// requestsAhead returns how many requests of the class run before a new one of the caller.
func (c *classQueue) requestsAhead(id pimentospread.CallerID) int {
	return min(c.waiting, (c.callerLength(id)+1)*len(c.callers))
}

func (c *classQueue) add(e *entry) {
	id := e.work.Caller
	q := c.callers[id]
	if q == nil {
		q = &callerQueue{id: id, class: c, createdSequence: e.sequence}
		q.element = c.callerOrder.PushBack(q)
		c.callers[id] = q
		heap.Push(&c.byLength, q)
	}
	q.append(e)
	heap.Fix(&c.byLength, q.heapIndex)
	c.waiting++
}

func (c *classQueue) remove(e *entry) {
	q := e.caller
	q.unlink(e)
	c.waiting--
	if q.length > 0 {
		heap.Fix(&c.byLength, q.heapIndex)
		return
	}
	heap.Remove(&c.byLength, q.heapIndex)
	c.callerOrder.Remove(q.element)
	delete(c.callers, q.id)
}

// head returns the oldest request of the caller whose turn it is. The class must not be empty.
func (c *classQueue) head() *entry {
	return c.callerOrder.Front().Value.(*callerQueue).first
}

// endTurn moves the caller that was served to the end of the order.
func (c *classQueue) endTurn() { c.callerOrder.MoveToBack(c.callerOrder.Front()) }

// newestOfLongest returns the newest request of the caller with the most
// requests, or nil. Evicting it costs that caller the smallest share.
func (c *classQueue) newestOfLongest() *entry {
	if len(c.byLength) == 0 {
		return nil
	}
	return c.byLength[0].last
}
