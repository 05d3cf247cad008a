package pimentospread

import "time"

// Clock tells the time. Decisions take the time as an argument; only duties read a Clock.
type Clock interface {
	// Now returns the current time, with a monotonic reading where the platform has one.
	Now() time.Time
}

// SystemClock reads the clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }
