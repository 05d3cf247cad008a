package pimentospread

import "time"

// Work is a request that waits for a slot.
type Work struct {
	Request  RequestID
	Caller   CallerID
	Service  ServiceID
	Class    Class
	Arrived  time.Time
	Deadline time.Time
}

// Refusal is work that will not be run, with the reason that the caller is told.
type Refusal struct {
	Work   Work
	Reason string
}

// Admission decides which work waits, which is refused and which is next.
type Admission interface {
	// Offer queues the work. It returns what is refused for it: the work itself
	// or less urgent work that gives up its place.
	Offer(now time.Time, work Work) []Refusal
	// Next removes and returns the work of the service that is to run next.
	Next(now time.Time, service ServiceID) (Work, bool)
	// Remove takes a request out of the queue. It reports false when it does not wait.
	Remove(request RequestID) bool
	// Expire removes and returns work whose deadline or longest wait has passed.
	Expire(now time.Time) []Refusal
	// Ended tells how long a request of the service ran, for the estimate of the wait.
	Ended(now time.Time, service ServiceID, took time.Duration)
	// Waiting returns how many requests of the service wait.
	Waiting(service ServiceID) int
}
