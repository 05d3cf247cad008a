package inflight

import "time"

// queue is a FIFO of started requests.
type queue struct {
	items []started
	first int
}

// started is one request of a flow with its start time.
type started struct {
	flow  *flow
	since time.Time
}

// push appends a request of the flow that started at the given time.
func (q *queue) push(f *flow, since time.Time) {
	if q.first > len(q.items)/2 {
		// Reuses the space of the requests that were removed.
		n := copy(q.items, q.items[q.first:])
		clear(q.items[n:])
		q.items, q.first = q.items[:n], 0
	}
	q.items = append(q.items, started{f, since})
}

// oldest returns the oldest request without removing it, and false if the queue is empty.
func (q *queue) oldest() (*flow, time.Time, bool) {
	if q.first == len(q.items) {
		return nil, time.Time{}, false
	}
	s := q.items[q.first]
	return s.flow, s.since, true
}

// pop removes the oldest request. The queue must not be empty.
func (q *queue) pop() {
	q.items[q.first] = started{}
	q.first++
}
