package inflight

import "time"

// queue holds started requests, oldest first.
type queue struct {
	items []started
	first int
}

type started struct {
	flow  *flow
	since time.Time
}

func (q *queue) push(f *flow, since time.Time) {
	if q.first > len(q.items)/2 {
		// Reuses the room of the requests that have left.
		n := copy(q.items, q.items[q.first:])
		clear(q.items[n:])
		q.items, q.first = q.items[:n], 0
	}
	q.items = append(q.items, started{f, since})
}

func (q *queue) oldest() (*flow, time.Time, bool) {
	if q.first == len(q.items) {
		return nil, time.Time{}, false
	}
	s := q.items[q.first]
	return s.flow, s.since, true
}

func (q *queue) pop() {
	q.items[q.first] = started{}
	q.first++
}
