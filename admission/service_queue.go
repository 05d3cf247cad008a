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
	// maxFloors bounds the sum of the floors, so that the most urgent class keeps at least half of the turns.
	maxFloors = 0.5
	// creditSlack is the tolerance for rounding: 0.05 added twenty times may be less than 1.
	creditSlack = 1e-9
)

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	// classes are sorted by urgency, the most urgent first.
	classes []*classQueue
	byName  map[pimentospread.Class]*classQueue
	waiting int
	// capacity bounds the waiting requests of all classes together. It is the largest queue length of a class.
	capacity int
	estimate waitEstimate
}

func newServiceQueue() *serviceQueue {
	return &serviceQueue{byName: map[pimentospread.Class]*classQueue{}}
}

// configure replaces the rules and returns the waiting requests of classes that no longer exist.
func (s *serviceQueue) configure(rules []policy.Class, slotShare float64) []*entry {
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
	s.estimate.slotShare = slotShare
	var removed []*entry
	for name, c := range old {
		if s.byName[name] == nil {
			removed = append(removed, c.entries()...)
		}
	}
	return removed
}

// entries returns the waiting requests of the class, in order by caller.
func (c *classQueue) entries() []*entry {
	var all []*entry
	for t := c.callerOrder.Front(); t != nil; t = t.Next() {
		for e := t.Value.(*callerQueue).first; e != nil; e = e.next {
			all = append(all, e)
		}
	}
	return all
}

// setFloors sets the floors of the classes. The most urgent class needs none. If the
// sum exceeds maxFloors, all floors are scaled down.
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

// nextClass returns the class that runs a request next, or nil when nothing waits:
// a lower class with a credit of at least 1, or else the most urgent class.
func (s *serviceQueue) nextClass() *classQueue {
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

// turnsUntil returns how many turns pass before a new request of the caller runs.
// It runs after all more urgent work or through the floor of its class, whichever is sooner.
func (s *serviceQueue) turnsUntil(c *classQueue, caller pimentospread.CallerID) float64 {
	own := float64(c.requestsAhead(caller))
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

// findVictim returns the request to evict for a new one of the caller in the class,
// or nil when there is a free place. It returns false when no place can be made.
func (s *serviceQueue) findVictim(c *classQueue, caller pimentospread.CallerID) (*entry, bool) {
	full := c.waiting >= c.rule.QueueLength
	if !full && s.waiting < s.capacity {
		return nil, true
	}
	if !full {
		if e := s.lessUrgentVictim(c); e != nil {
			return e, true
		}
	}
	// Within the class, only a caller with at least two more requests loses one.
	// Otherwise two callers would evict each other's requests in turn.
	e := c.newestOfLongest()
	if e == nil || e.caller.length < c.callerLength(caller)+2 {
		return nil, false
	}
	return e, true
}

// lessUrgentVictim returns a request of the least urgent class that exceeds its
// reserved places, or nil when no class less urgent than c does.
func (s *serviceQueue) lessUrgentVictim(c *classQueue) *entry {
	for _, l := range slices.Backward(s.classes) {
		if l.rule.Urgency >= c.rule.Urgency {
			return nil
		}
		if l.waiting > l.reservedPlaces() {
			return l.newestOfLongest()
		}
	}
	return nil
}
