// Package dissemination decides how a host keeps its beliefs about the platform fresh:
// what to ask the platform next, and whom to hear changes from.
package dissemination

import (
	"time"

	"pimentospread"
)

// CursorConfig says how often a cursor asks.
type CursorConfig struct {
	// Wait is how long the platform holds a watch without a change.
	Wait time.Duration
	// ListDelay is the time from the start to the first list, and WatchDelay that from the
	// start to the first watch. A host that finds another source by then makes no
	// call for them.
	ListDelay, WatchDelay time.Duration
	// MinWatchInterval is the shortest time from one watch that told a change to the next
	// one, so that many changes in a row cost few calls.
	MinWatchInterval time.Duration
	// RelistInterval is the time after which everything is listed again, so that a
	// change that a watch has missed is found.
	RelistInterval time.Duration
	// MinBackoff and MaxBackoff bound the pause after calls that failed.
	MinBackoff, MaxBackoff time.Duration
}

// Step is what a cursor wants done next.
type Step uint8

// Steps of a cursor.
const (
	// List asks for all objects.
	List Step = iota
	// Watch waits for changes after a revision.
	Watch
	// Pause waits before the next step.
	Pause
)

// Call is the next step of a cursor with its arguments.
type Call struct {
	Step  Step
	After pimentospread.ObjectVersion
	Wait  time.Duration
}

// Cursor is the place in the changes of one kind of object up to which a host has read.
type Cursor struct {
	config  CursorConfig
	started time.Time
	// revision is zero before the first list and after the history is gone.
	revision pimentospread.ObjectVersion
	listed   time.Time
	failures int
	paused   bool
	// changed says that the last watch told a change, and watched when it began.
	changed bool
	watched time.Time
}

// NewCursor returns a cursor that begins with a list.
func NewCursor(now time.Time, c CursorConfig) *Cursor { return &Cursor{config: c, started: now} }

// Next returns the next step. The jitter is a number from 0 to 1 that spreads the
// pauses of hosts that failed together.
func (c *Cursor) Next(now time.Time, jitter float64) Call {
	if c.failures > 0 && !c.paused {
		c.paused = true
		return Call{Step: Pause, Wait: c.pause(jitter)}
	}
	c.paused = false
	if wait := c.config.ListDelay - now.Sub(c.started); wait > 0 {
		return Call{Step: Pause, Wait: wait}
	}
	if rest := c.config.MinWatchInterval - now.Sub(c.watched); c.changed && rest > 0 {
		c.changed = false
		return Call{Step: Pause, Wait: rest}
	}
	if c.revision == 0 || now.Sub(c.listed) >= c.config.RelistInterval {
		return Call{Step: List}
	}
	if wait := c.config.WatchDelay - now.Sub(c.started); wait > 0 {
		return Call{Step: Pause, Wait: wait}
	}
	c.watched, c.changed = now, false
	return Call{Step: Watch, After: c.revision, Wait: c.config.Wait}
}

func (c *Cursor) pause(jitter float64) time.Duration {
	d := c.config.MinBackoff
	for i := 1; i < c.failures && d < c.config.MaxBackoff; i++ {
		d *= 2
	}
	return time.Duration(float64(min(d, c.config.MaxBackoff)) * (0.5 + jitter/2))
}

// Listed takes the answer to a list.
func (c *Cursor) Listed(now time.Time, revision pimentospread.ObjectVersion) {
	c.revision, c.listed, c.failures = revision, now, 0
}

// Changed takes the answer to a watch, which may tell no change. A revision that
// is lower than the known one is an answer from the past and leaves the cursor where it is.
func (c *Cursor) Changed(revision pimentospread.ObjectVersion, changes int) {
	c.revision, c.failures, c.changed = max(c.revision, revision), 0, changes > 0
}

// Expired says that the platform has lost the history after the cursor's revision.
func (c *Cursor) Expired() { c.revision, c.failures = 0, 0 }

// Failed says that a call got no answer. The missed changes are still in the
// history when the platform answers again.
func (c *Cursor) Failed() { c.failures++ }

// Restart makes the cursor begin with a list, after changes were heard elsewhere.
func (c *Cursor) Restart() { c.revision, c.failures, c.paused = 0, 0, false }
