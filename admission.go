package pimentospread

import "time"

// Work is a request that waits for a free slot at a target.
type Work struct {
	Request  RequestID
	Caller   CallerID
	Service  ServiceID
	Class    Class
	Arrived  time.Time
	Deadline time.Time
}

// Refusal is work that is not run.
type Refusal struct {
	Work Work
	// Reason is sent to the caller.
	Reason string
}

// Admission queues work. It decides which work is refused and which runs next.
type Admission interface {
	// Offer queues the work. It returns the work that is refused as a result: the
	// offered work itself, or less urgent work that it replaces.
	Offer(now time.Time, work Work) []Refusal
	// Next removes and returns the work of the service that runs next.
	Next(now time.Time, service ServiceID) (Work, bool)
	// Remove removes a request from the queue. It reports false if the request is not queued.
	Remove(request RequestID) bool
	// Expire removes and returns work whose deadline or maximum waiting time has passed.
	Expire(now time.Time) []Refusal
	// Ended records how long a request of the service ran, to estimate waiting times.
	Ended(now time.Time, service ServiceID, took time.Duration)
	// Waiting returns the number of queued requests of the service.
	Waiting(service ServiceID) int
}
