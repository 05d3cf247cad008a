package admission

import (
	"cmp"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/policy"
)

// QueueDeps is what a queue depends on.
type QueueDeps struct {
	// Metrics counts refusals by reason. Nil counts nothing.
	Metrics pimentospread.Metrics
}

// Queue holds the requests that wait at one host. It implements pimentospread.Admission.
type Queue struct {
	services map[pimentospread.ServiceID]*serviceQueue
}

var _ pimentospread.Admission = (*Queue)(nil)

type serviceQueue struct {
	classes []classQueue
}

type classQueue struct {
	rule  policy.Class
	works []pimentospread.Work
}

// NewQueue returns a queue that refuses everything until it is configured.
func NewQueue(_ QueueDeps) *Queue {
	return &Queue{services: map[pimentospread.ServiceID]*serviceQueue{}}
}

// Configure replaces the services. Work of a service or class that no longer
// exists is refused by the next Expire.
func (q *Queue) Configure(_ time.Time, services []Service, _ []pimentospread.HostID, _ pimentospread.HostID) {
	for _, s := range services {
		if q.services[s.ID] != nil {
			continue
		}
		v := &serviceQueue{}
		for _, c := range s.Classes {
			v.classes = append(v.classes, classQueue{rule: c})
		}
		slices.SortStableFunc(v.classes, func(a, b classQueue) int { return cmp.Compare(b.rule.Urgency, a.rule.Urgency) })
		q.services[s.ID] = v
	}
}

// Offer queues the work.
func (q *Queue) Offer(_ time.Time, work pimentospread.Work) []pimentospread.Refusal {
	s := q.services[work.Service]
	if s == nil {
		return []pimentospread.Refusal{{Work: work, Reason: "service does not exist"}}
	}
	for i := range s.classes {
		c := &s.classes[i]
		if c.rule.Name != work.Class {
			continue
		}
		if len(c.works) >= c.rule.QueueLength {
			return []pimentospread.Refusal{{Work: work, Reason: "queue is full"}}
		}
		c.works = append(c.works, work)
		return nil
	}
	return []pimentospread.Refusal{{Work: work, Reason: "class does not exist"}}
}

// Next removes and returns the most urgent work of the service.
func (q *Queue) Next(_ time.Time, service pimentospread.ServiceID) (pimentospread.Work, bool) {
	s := q.services[service]
	if s == nil {
		return pimentospread.Work{}, false
	}
	for i := range s.classes {
		if c := &s.classes[i]; len(c.works) > 0 {
			w := c.works[0]
			c.works = c.works[1:]
			return w, true
		}
	}
	return pimentospread.Work{}, false
}

// Remove takes a request out of the queue. It reports false when it does not wait.
func (q *Queue) Remove(request pimentospread.RequestID) bool {
	for _, s := range q.services {
		for i := range s.classes {
			c := &s.classes[i]
			before := len(c.works)
			c.works = slices.DeleteFunc(c.works, func(w pimentospread.Work) bool { return w.Request == request })
			if len(c.works) < before {
				return true
			}
		}
	}
	return false
}

// Expire removes and returns work whose deadline or longest wait has passed.
func (q *Queue) Expire(now time.Time) []pimentospread.Refusal {
	var refused []pimentospread.Refusal
	for _, s := range q.services {
		for i := range s.classes {
			c := &s.classes[i]
			c.works = slices.DeleteFunc(c.works, func(w pimentospread.Work) bool {
				late := !now.Before(w.Deadline) || !now.Before(w.Arrived.Add(c.rule.MaxWait.Duration))
				if late {
					refused = append(refused, pimentospread.Refusal{Work: w, Reason: "waited too long"})
				}
				return late
			})
		}
	}
	return refused
}

// Ended tells how long a request of the service ran.
func (q *Queue) Ended(time.Time, pimentospread.ServiceID, time.Duration) {}

// Waiting returns how many requests of the service wait.
func (q *Queue) Waiting(service pimentospread.ServiceID) int {
	s := q.services[service]
	if s == nil {
		return 0
	}
	n := 0
	for _, c := range s.classes {
		n += len(c.works)
	}
	return n
}
