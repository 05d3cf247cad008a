package admission

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"pimentospread"
)

// Reasons for refusals. They are label values of pimentospread_admission_refusals_total.
const (
	ReasonNoService   = "service does not exist"
	ReasonNoClass     = "class does not exist"
	ReasonFull        = "queue is full"
	ReasonCallerFull  = "queue of the caller is full"
	ReasonWaitTooLong = "expected wait is too long"
	ReasonExpired     = "waited too long"
	ReasonEvicted     = "place was given to other work"
)

// QueueDeps holds the dependencies of a Queue.
type QueueDeps struct {
	// Metrics holds the counters of refusals by reason. Nil disables them.
	Metrics pimentospread.Metrics
}

// Queue holds the requests that wait at one host. It implements
// pimentospread.Admission. Every offered request leaves it exactly once: through
// Next, through Remove or as a refusal from Offer or Expire. Expired requests
// accumulate until Expire is called, so the owner has to call it on every tick.
type Queue struct {
	services  map[pimentospread.ServiceID]*serviceQueue
	byRequest map[pimentospread.RequestID]*entry
	expiry    expiryHeap
	// pendingRefusals are the refusals that the next Expire returns.
	pendingRefusals []pimentospread.Refusal
	sequence        uint64
	counters        map[string]pimentospread.Counter
}

var _ pimentospread.Admission = (*Queue)(nil)

// NewQueue returns a queue that refuses everything until it is configured.
func NewQueue(deps QueueDeps) *Queue {
	return &Queue{
		services:  map[pimentospread.ServiceID]*serviceQueue{},
		byRequest: map[pimentospread.RequestID]*entry{},
		counters:  refusalCounters(deps.Metrics),
	}
}

// refusalCounters returns a counter for each reason.
func refusalCounters(m pimentospread.Metrics) map[string]pimentospread.Counter {
	counters := map[string]pimentospread.Counter{}
	if m == nil {
		return counters
	}
	for _, r := range []string{ReasonNoService, ReasonNoClass, ReasonFull, ReasonCallerFull, ReasonWaitTooLong, ReasonExpired, ReasonEvicted} {
		counters[r] = m.Counter(`pimentospread_admission_refusals_total{reason="` + r + `"}`)
	}
	return counters
}

// Configure replaces the services. Work of a service or class that no longer
// exists is refused by the next Expire. The expected wait depends on the number
// of live hosts, which share the slots.
func (q *Queue) Configure(_ time.Time, services []Service, live []pimentospread.HostID, _ pimentospread.HostID) {
	old := q.services
	q.services = make(map[pimentospread.ServiceID]*serviceQueue, len(services))
	for _, v := range services {
		s := old[v.ID]
		if s == nil {
			s = newServiceQueue()
		}
		delete(old, v.ID)
		q.services[v.ID] = s
		q.drop(s, s.configure(v.Classes, slotShare(v, len(live))), ReasonNoClass)
	}
	for _, id := range slices.Sorted(maps.Keys(old)) {
		for _, c := range old[id].classes {
			q.drop(old[id], c.entries(), ReasonNoService)
		}
	}
}

// slotShare returns the mean number of the service's slots per live host.
func slotShare(s Service, hosts int) float64 {
	slots := pimentospread.Slots(0)
	for _, t := range s.Targets {
		slots += t.Slots
	}
	return float64(slots) / float64(max(1, hosts))
}

// drop removes the entries and refuses them in the order in which they arrived.
func (q *Queue) drop(s *serviceQueue, entries []*entry, reason string) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range entries {
		q.removeEntry(s, e)
		q.pendingRefusals = append(q.pendingRefusals, q.refuse(e.work, reason))
	}
}

// Offer queues the work and returns what is refused: the work itself or a request
// that is evicted for it. A request that already waits keeps its place and nothing
// is refused. Work of the same class is evicted only for a caller that has at
// least two requests fewer in the queue.
func (q *Queue) Offer(now time.Time, work pimentospread.Work) []pimentospread.Refusal {
	if q.byRequest[work.Request] != nil {
		return nil
	}
	s := q.services[work.Service]
	if s == nil {
		return []pimentospread.Refusal{q.refuse(work, ReasonNoService)}
	}
	c := s.byName[work.Class]
	if c == nil {
		return []pimentospread.Refusal{q.refuse(work, ReasonNoClass)}
	}
	q.expireEntries(now)
	expiry := work.Arrived.Add(c.rule.MaxWait.Duration)
	if !work.Deadline.IsZero() && work.Deadline.Before(expiry) {
		expiry = work.Deadline
	}
	if reason := s.refusalReason(now, c, work.Caller, expiry); reason != "" {
		return []pimentospread.Refusal{q.refuse(work, reason)}
	}
	evicted, ok := s.findVictim(c, work.Caller)
	if !ok {
		return []pimentospread.Refusal{q.refuse(work, ReasonFull)}
	}
	var refused []pimentospread.Refusal
	if evicted != nil {
		q.removeEntry(s, evicted)
		refused = append(refused, q.refuse(evicted.work, ReasonEvicted))
	}
	q.insertEntry(s, c, &entry{work: work, expiry: expiry})
	return refused
}

// refusalReason returns why work is refused regardless of free places, or an empty string.
func (s *serviceQueue) refusalReason(now time.Time, c *classQueue, caller pimentospread.CallerID, expiry time.Time) string {
	left := expiry.Sub(now)
	if left <= 0 {
		return ReasonExpired
	}
	if s.estimate.expectedWait(now, s.turnsUntil(c, caller)) > left {
		return ReasonWaitTooLong
	}
	if c.callerLength(caller) >= c.callerLimit() {
		return ReasonCallerFull
	}
	return ""
}

// refuse counts a refusal and returns it.
func (q *Queue) refuse(work pimentospread.Work, reason string) pimentospread.Refusal {
	if n := q.counters[reason]; n != nil {
		n.Add(1)
	}
	return pimentospread.Refusal{Work: work, Reason: reason}
}

// insertEntry adds the entry to its class and to all indexes.
func (q *Queue) insertEntry(s *serviceQueue, c *classQueue, e *entry) {
	q.sequence++
	e.sequence = q.sequence
	c.add(e)
	s.waiting++
	q.byRequest[e.work.Request] = e
	heap.Push(&q.expiry, e)
}

// removeEntry removes the entry from its class and from all indexes.
func (q *Queue) removeEntry(s *serviceQueue, e *entry) {
	e.caller.class.remove(e)
	s.waiting--
	delete(q.byRequest, e.work.Request)
	heap.Remove(&q.expiry, e.heapIndex)
}

// expireEntries refuses the entries whose expiry has passed.
func (q *Queue) expireEntries(now time.Time) {
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].expiry) {
		e := q.expiry[0]
		q.removeEntry(q.services[e.work.Service], e)
		q.pendingRefusals = append(q.pendingRefusals, q.refuse(e.work, ReasonExpired))
	}
}

// Next removes and returns the work of the service that runs next. It never
// returns expired work.
func (q *Queue) Next(now time.Time, service pimentospread.ServiceID) (pimentospread.Work, bool) {
	s := q.services[service]
	if s == nil {
		return pimentospread.Work{}, false
	}
	q.expireEntries(now)
	c := s.nextClass()
	if c == nil {
		return pimentospread.Work{}, false
	}
	e := c.head()
	c.endTurn()
	q.removeEntry(s, e)
	s.estimate.recordTurn(now, s.waiting)
	return e.work, true
}

// Remove removes a request from the queue. It returns false when the request does not wait.
func (q *Queue) Remove(request pimentospread.RequestID) bool {
	e := q.byRequest[request]
	if e == nil {
		return false
	}
	q.removeEntry(q.services[e.work.Service], e)
	return true
}

// Expire removes and returns work whose deadline or longest wait has passed,
// and work whose service or class no longer exists.
func (q *Queue) Expire(now time.Time) []pimentospread.Refusal {
	q.expireEntries(now)
	refused := q.pendingRefusals
	q.pendingRefusals = nil
	return refused
}

// Ended records how long a request of the service ran, for the estimate of the wait.
func (q *Queue) Ended(_ time.Time, service pimentospread.ServiceID, duration time.Duration) {
	if s := q.services[service]; s != nil {
		s.estimate.recordDuration(duration)
	}
}

// Waiting returns how many requests of the service wait.
func (q *Queue) Waiting(service pimentospread.ServiceID) int {
	if s := q.services[service]; s != nil {
		return s.waiting
	}
	return 0
}
