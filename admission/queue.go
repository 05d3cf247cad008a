package admission

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"pimentospread"
)

// Reasons of refusals.
const (
	ReasonNoService  = "service does not exist"
	ReasonNoClass    = "class does not exist"
	ReasonFull       = "queue is full"
	ReasonCallerFull = "queue of the caller is full"
	ReasonWait       = "expected wait is too long"
	ReasonExpired    = "waited too long"
	ReasonPushedOut  = "place was given to other work"
)

// QueueDeps is what a queue depends on.
type QueueDeps struct {
	// Metrics counts refusals by reason. Nil counts nothing.
	Metrics pimentospread.Metrics
}

// Queue holds the requests that wait at one host. It implements
// pimentospread.Admission. Every offered request leaves it exactly once: by
// Next, by Remove or as a refusal of Offer or Expire. Expired requests gather
// until Expire is called, so its owner calls it on every tick.
type Queue struct {
	services  map[pimentospread.ServiceID]*serviceQueue
	byRequest map[pimentospread.RequestID]*entry
	expiry    expiryHeap
	// refused is what the next Expire returns.
	refused  []pimentospread.Refusal
	sequence uint64
	counters map[string]pimentospread.Counter
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

func refusalCounters(m pimentospread.Metrics) map[string]pimentospread.Counter {
	counters := map[string]pimentospread.Counter{}
	if m == nil {
		return counters
	}
	for _, r := range []string{ReasonNoService, ReasonNoClass, ReasonFull, ReasonCallerFull, ReasonWait, ReasonExpired, ReasonPushedOut} {
		counters[r] = m.Counter(`pimentospread_admission_refusals_total{reason="` + r + `"}`)
	}
	return counters
}

// Configure replaces the services. Work of a service or class that no longer
// exists is refused by the next Expire. The number of live hosts enters the
// expected wait.
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
		q.drop(s, s.configure(v.Classes, parallel(v, len(live))), ReasonNoClass)
	}
	for _, id := range slices.Sorted(maps.Keys(old)) {
		for _, c := range old[id].classes {
			q.drop(old[id], c.entries(), ReasonNoService)
		}
	}
}

func parallel(s Service, hosts int) float64 {
	slots := pimentospread.Slots(0)
	for _, t := range s.Targets {
		slots += t.Slots
	}
	return float64(slots) / float64(max(1, hosts))
}

// drop refuses entries in the order in which they arrived.
func (q *Queue) drop(s *serviceQueue, entries []*entry, reason string) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range entries {
		q.take(s, e)
		q.refused = append(q.refused, q.refuse(e.work, reason))
	}
}

// Offer queues the work. A request that waits already keeps its place and
// nothing is refused. Work of the same class yields only to a caller that has
// at least two requests fewer in the queue.
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
	q.sweep(now)
	expiry := work.Arrived.Add(c.rule.MaxWait.Duration)
	if !work.Deadline.IsZero() && work.Deadline.Before(expiry) {
		expiry = work.Deadline
	}
	if reason := s.early(now, c, work.Caller, expiry); reason != "" {
		return []pimentospread.Refusal{q.refuse(work, reason)}
	}
	yields, ok := s.yielding(c, work.Caller)
	if !ok {
		return []pimentospread.Refusal{q.refuse(work, ReasonFull)}
	}
	var refused []pimentospread.Refusal
	if yields != nil {
		q.take(s, yields)
		refused = append(refused, q.refuse(yields.work, ReasonPushedOut))
	}
	q.put(s, c, &entry{work: work, expiry: expiry})
	return refused
}

// early returns why the work is refused before it takes a place, or an empty string.
func (s *serviceQueue) early(now time.Time, c *classQueue, caller pimentospread.CallerID, expiry time.Time) string {
	left := expiry.Sub(now)
	if left <= 0 {
		return ReasonExpired
	}
	if s.estimate.wait(now, s.turns(c, caller)) > left {
		return ReasonWait
	}
	if c.callerLength(caller) >= c.callerBound() {
		return ReasonCallerFull
	}
	return ""
}

func (q *Queue) refuse(work pimentospread.Work, reason string) pimentospread.Refusal {
	if n := q.counters[reason]; n != nil {
		n.Add(1)
	}
	return pimentospread.Refusal{Work: work, Reason: reason}
}

func (q *Queue) put(s *serviceQueue, c *classQueue, e *entry) {
	q.sequence++
	e.sequence = q.sequence
	c.add(e)
	s.waiting++
	q.byRequest[e.work.Request] = e
	heap.Push(&q.expiry, e)
}

func (q *Queue) take(s *serviceQueue, e *entry) {
	e.caller.class.remove(e)
	s.waiting--
	delete(q.byRequest, e.work.Request)
	heap.Remove(&q.expiry, e.place)
}

// sweep refuses what has waited too long.
func (q *Queue) sweep(now time.Time) {
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].expiry) {
		e := q.expiry[0]
		q.take(q.services[e.work.Service], e)
		q.refused = append(q.refused, q.refuse(e.work, ReasonExpired))
	}
}

// Next removes and returns the work of the service that is to run next. Work
// that has waited too long is never returned.
func (q *Queue) Next(now time.Time, service pimentospread.ServiceID) (pimentospread.Work, bool) {
	s := q.services[service]
	if s == nil {
		return pimentospread.Work{}, false
	}
	q.sweep(now)
	c := s.choose()
	if c == nil {
		return pimentospread.Work{}, false
	}
	e := c.head()
	c.pass()
	q.take(s, e)
	s.estimate.turn(now, s.waiting)
	return e.work, true
}

// Remove takes a request out of the queue. It reports false when it does not wait.
func (q *Queue) Remove(request pimentospread.RequestID) bool {
	e := q.byRequest[request]
	if e == nil {
		return false
	}
	q.take(q.services[e.work.Service], e)
	return true
}

// Expire removes and returns work whose deadline or longest wait has passed,
// and work that lost its service or class.
func (q *Queue) Expire(now time.Time) []pimentospread.Refusal {
	q.sweep(now)
	refused := q.refused
	q.refused = nil
	return refused
}

// Ended tells how long a request of the service ran, for the estimate of the wait.
func (q *Queue) Ended(_ time.Time, service pimentospread.ServiceID, took time.Duration) {
	if s := q.services[service]; s != nil {
		s.estimate.ended(took)
	}
}

// Waiting returns how many requests of the service wait.
func (q *Queue) Waiting(service pimentospread.ServiceID) int {
	if s := q.services[service]; s != nil {
		return s.waiting
	}
	return 0
}
