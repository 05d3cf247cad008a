package pimentospread

import "time"

// Clock returns the current time. Only duties, the long-running goroutines of a
// process, read a Clock; decisions get the time as an argument.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the operating system has one.
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }
