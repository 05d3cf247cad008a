package admission

import (
	"container/heap"
	"container/list"

	"pimentospread"
	"pimentospread/policy"
)

// callerShare divides the queue length of a class into the bound for one
// caller, so that four callers at least find room in a full class.
const callerShare = 4

// classQueue holds the waiting requests of one class and serves its callers in turn.
type classQueue struct {
	rule policy.Class
	// floor is the share of turns that the class keeps under more urgent work.
	floor float64
	// credit rises by floor at each turn that goes to another class. At 1 the class takes a turn.
	credit  float64
	waiting int
	callers map[pimentospread.CallerID]*callerQueue
	round   *list.List
	longest lengthHeap
}

func newClassQueue(rule policy.Class) *classQueue {
	return &classQueue{rule: rule, callers: map[pimentospread.CallerID]*callerQueue{}, round: list.New()}
}

func (c *classQueue) callerBound() int {
	return max(1, (c.rule.QueueLength+callerShare-1)/callerShare)
}

// reserve is the number of places that more urgent work cannot take from the class.
func (c *classQueue) reserve() int {
	return max(1, int(c.floor*float64(c.rule.QueueLength)))
}

func (c *classQueue) callerLength(id pimentospread.CallerID) int {
	if q := c.callers[id]; q != nil {
		return q.length
	}
	return 0
}

// ahead returns how many requests of the class run before a new one of the caller.
func (c *classQueue) ahead(id pimentospread.CallerID) int {
	return min(c.waiting, (c.callerLength(id)+1)*len(c.callers))
}

func (c *classQueue) add(e *entry) {
	id := e.work.Caller
	q := c.callers[id]
	if q == nil {
		q = &callerQueue{id: id, class: c, since: e.sequence}
		q.turn = c.round.PushBack(q)
		c.callers[id] = q
		heap.Push(&c.longest, q)
	}
	q.append(e)
	heap.Fix(&c.longest, q.place)
	c.waiting++
}

func (c *classQueue) remove(e *entry) {
	q := e.caller
	q.unlink(e)
	c.waiting--
	if q.length > 0 {
		heap.Fix(&c.longest, q.place)
		return
	}
	heap.Remove(&c.longest, q.place)
	c.round.Remove(q.turn)
	delete(c.callers, q.id)
}

// head returns the oldest request of the caller whose turn it is. The class must not be empty.
func (c *classQueue) head() *entry {
	return c.round.Front().Value.(*callerQueue).first
}

// pass ends the turn of the caller at the head.
func (c *classQueue) pass() { c.round.MoveToBack(c.round.Front()) }

// newestOfLongest returns the newest request of the caller with the most
// requests, or nil. That caller loses the least by giving up a place.
func (c *classQueue) newestOfLongest() *entry {
	if len(c.longest) == 0 {
		return nil
	}
	return c.longest[0].last
}
