// Package dissemination decides how a host keeps its copy of the platform's state up
// to date: which call to make to the platform next, and which host to get changes from.
package dissemination

import (
	"time"

	"pimentospread"
)

// CursorConfig sets the timing of the calls of a cursor.
type CursorConfig struct {
	// WatchTimeout is how long a watch waits for a change before it returns without one.
	WatchTimeout time.Duration
	// ListDelay is the time from the start to the first list, and WatchDelay that to
	// the first watch. A host that finds another source by then does not make the call.
	ListDelay, WatchDelay time.Duration
	// MinWatchInterval is the shortest time from the start of a watch that returned
	// changes to that of the next one. It limits the calls during a series of changes.
	MinWatchInterval time.Duration
	// RelistInterval is the time after which everything is listed again, to find
	// changes that a watch has missed.
	RelistInterval time.Duration
	// MinBackoff and MaxBackoff limit the pause after failed calls. It doubles with
	// each failure in a row.
	MinBackoff, MaxBackoff time.Duration
}

// Step is the kind of the next call of a cursor.
type Step uint8

// Steps of a cursor.
const (
	// List lists all objects.
	List Step = iota
	// Watch waits for changes after a revision.
	Watch
	// Pause waits before the next call.
	Pause
)

// Call is the next step of a cursor with its arguments.
type Call struct {
	Step Step
	// After is the revision that a watch starts from.
	After pimentospread.ObjectVersion
	// Wait is the duration of a pause, or how long a watch waits for a change.
	Wait time.Duration
}

// Cursor tracks how far a host has read the changes of one kind of object, and
// schedules its calls to the platform.
type Cursor struct {
	config  CursorConfig
	started time.Time
	// revision is zero before the first list and after the history has expired.
	revision pimentospread.ObjectVersion
	// listed is when the last list succeeded.
	listed time.Time
	// failures counts the calls that failed in a row.
	failures int
	// paused is set once the pause after the last failure was returned.
	paused bool
	// changed is set if the last watch returned changes.
	changed bool
	// watched is when the last watch started.
	watched time.Time
}

// NewCursor returns a cursor that starts with a list.
func NewCursor(now time.Time, c CursorConfig) *Cursor { return &Cursor{config: c, started: now} }

// Next returns the next call. The jitter is a random number from 0 to 1 that spreads
// the pauses of hosts whose calls failed at the same time.
func (c *Cursor) Next(now time.Time, jitter float64) Call {
	if c.failures > 0 && !c.paused {
		c.paused = true
		return Call{Step: Pause, Wait: c.backoff(jitter)}
	}
	c.paused = false
	if wait := c.config.ListDelay - now.Sub(c.started); wait > 0 {
		return Call{Step: Pause, Wait: wait}
	}
	if remaining := c.config.MinWatchInterval - now.Sub(c.watched); c.changed && remaining > 0 {
		c.changed = false
		return Call{Step: Pause, Wait: remaining}
	}
	if c.revision == 0 || now.Sub(c.listed) >= c.config.RelistInterval {
		return Call{Step: List}
	}
	if wait := c.config.WatchDelay - now.Sub(c.started); wait > 0 {
		return Call{Step: Pause, Wait: wait}
	}
	c.watched, c.changed = now, false
	return Call{Step: Watch, After: c.revision, Wait: c.config.WatchTimeout}
}

// backoff returns the pause after a failed call.
func (c *Cursor) backoff(jitter float64) time.Duration {
	d := c.config.MinBackoff
	for i := 1; i < c.failures && d < c.config.MaxBackoff; i++ {
		d *= 2
	}
	return time.Duration(float64(min(d, c.config.MaxBackoff)) * (0.5 + jitter/2))
}

// Listed records a successful list.
func (c *Cursor) Listed(now time.Time, revision pimentospread.ObjectVersion) {
	c.revision, c.listed, c.failures = revision, now, 0
}

// Changed records a successful watch with the number of changes that it returned.
// The cursor does not move back if an outdated answer has a lower revision.
func (c *Cursor) Changed(revision pimentospread.ObjectVersion, changes int) {
	c.revision, c.failures, c.changed = max(c.revision, revision), 0, changes > 0
}

// Expired records that the platform no longer has the changes after the cursor's
// revision. The next call is a list.
func (c *Cursor) Expired() { c.revision, c.failures = 0, 0 }

// Failed records a failed call. The cursor keeps its revision, because the platform
// still has the missed changes when it answers again.
func (c *Cursor) Failed() { c.failures++ }

// Restart makes the cursor start with a list again. It is called after changes were
// received from another host.
func (c *Cursor) Restart() { c.revision, c.failures, c.paused = 0, 0, false }
