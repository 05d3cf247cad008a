package admission

import (
	"cmp"
	"slices"

	"pimentospread"
	"pimentospread/policy"
)

const (
	// defaultFloor applies to a class without a floor of its own.
	defaultFloor = 0.05
	// maxFloors bounds the sum of the floors, so that the most urgent class keeps half of the turns.
	maxFloors = 0.5
	// creditSlack keeps rounding from delaying a turn: twenty times 0.05 may add up to less than 1.
	creditSlack = 1e-9
)

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	// classes are in order of urgency, the most urgent first.
	classes []*classQueue
	byName  map[pimentospread.Class]*classQueue
	waiting int
	// capacity bounds the requests of all classes together. It is the length of the longest class queue.
	capacity int
	estimate waitEstimate
}

func newServiceQueue() *serviceQueue {
	return &serviceQueue{byName: map[pimentospread.Class]*classQueue{}}
}

// configure takes new rules and returns the waiting requests of classes that no longer exist.
func (s *serviceQueue) configure(rules []policy.Class, parallel float64) []*entry {
	old := s.byName
	s.byName = make(map[pimentospread.Class]*classQueue, len(rules))
	s.classes = s.classes[:0]
	s.capacity = 0
	for _, r := range rules {
		c := old[r.Name]
		if c == nil {
			c = newClassQueue(r)
		}
		c.rule = r
		s.byName[r.Name] = c
		s.classes = append(s.classes, c)
		s.capacity = max(s.capacity, r.QueueLength)
	}
	slices.SortStableFunc(s.classes, func(a, b *classQueue) int { return cmp.Compare(b.rule.Urgency, a.rule.Urgency) })
	s.setFloors()
	s.estimate.parallel = parallel
	var gone []*entry
	for name, c := range old {
		if s.byName[name] == nil {
			gone = append(gone, c.entries()...)
		}
	}
	return gone
}

func (c *classQueue) entries() []*entry {
	var all []*entry
	for t := c.round.Front(); t != nil; t = t.Next() {
		for e := t.Value.(*callerQueue).first; e != nil; e = e.next {
			all = append(all, e)
		}
	}
	return all
}

// setFloors sets the floors of all classes but the most urgent one, which needs none.
func (s *serviceQueue) setFloors() {
	sum := 0.0
	for i, c := range s.classes {
		c.floor = float64(c.rule.Floor)
		if c.floor == 0 {
			c.floor = defaultFloor
		}
		if i == 0 {
			c.floor = 0
		}
		sum += c.floor
	}
	if sum <= maxFloors {
		return
	}
	for _, c := range s.classes {
		c.floor *= maxFloors / sum
	}
}

// choose returns the class whose turn it is, or nil when nothing waits.
func (s *serviceQueue) choose() *classQueue {
	var urgent, owed *classQueue
	for _, c := range s.classes {
		switch {
		case c.waiting == 0:
		case urgent == nil:
			urgent = c
		default:
			c.credit += c.floor
			if c.credit >= 1-creditSlack && (owed == nil || c.credit > owed.credit) {
				owed = c
			}
		}
	}
	if owed != nil {
		owed.credit--
		return owed
	}
	if urgent != nil {
		urgent.credit = 0
	}
	return urgent
}

// turns returns how many turns pass before a new request of the caller runs.
// A class runs after all more urgent work or by its floor, whichever is sooner.
func (s *serviceQueue) turns(c *classQueue, caller pimentospread.CallerID) float64 {
	own := float64(c.ahead(caller))
	higher := 0
	for _, h := range s.classes {
		if h.rule.Urgency <= c.rule.Urgency {
			break
		}
		higher += h.waiting
	}
	if higher == 0 || c.floor == 0 {
		return own + float64(higher)
	}
	return min(own+float64(higher), (own+1)/c.floor)
}

// yielding returns the request that gives up its place for one of the caller
// in the class. It returns false when there is no place, and nil when nothing has to yield.
func (s *serviceQueue) yielding(c *classQueue, caller pimentospread.CallerID) (*entry, bool) {
	full := c.waiting >= c.rule.QueueLength
	if !full && s.waiting < s.capacity {
		return nil, true
	}
	if !full {
		if e := s.lessUrgent(c); e != nil {
			return e, true
		}
	}
	// Within the class, only a caller with at least two more requests yields:
	// otherwise two callers push each other out in turn.
	e := c.newestOfLongest()
	if e == nil || e.caller.length < c.callerLength(caller)+2 {
		return nil, false
	}
	return e, true
}

// lessUrgent returns a request of the least urgent class that has more than its reserved places.
func (s *serviceQueue) lessUrgent(c *classQueue) *entry {
	for _, l := range slices.Backward(s.classes) {
		if l.rule.Urgency >= c.rule.Urgency {
			return nil
		}
		if l.waiting > l.reserve() {
			return l.newestOfLongest()
		}
	}
	return nil
}
