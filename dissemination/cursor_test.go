package dissemination_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread/dissemination"
)

// Guards against a cursor that misses changes, that hammers a platform which is
// away, or that trusts a watch for ever.
func TestCursor(t *testing.T) {
	list, watch := dissemination.Call{Step: dissemination.List}, dissemination.Call{Step: dissemination.Watch, After: 7, Wait: time.Second}
	pause := func(d time.Duration) dissemination.Call {
		return dissemination.Call{Step: dissemination.Pause, Wait: d}
	}
	type step struct {
		at   time.Duration
		do   func(c *dissemination.Cursor, now time.Time)
		want dissemination.Call
	}
	listed := func(c *dissemination.Cursor, now time.Time) { c.Listed(now, 7) }
	failed := func(c *dissemination.Cursor, _ time.Time) { c.Failed() }
	nothing := func(*dissemination.Cursor, time.Time) {}
	tests := map[string][]step{
		"a list comes first": {{do: nothing, want: list}},
		"a watch follows":    {{do: listed, want: watch}},
		"a watch goes on from the last change": {
			{do: listed, want: watch},
			{do: func(c *dissemination.Cursor, _ time.Time) { c.Changed(9, 0) }, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
			{do: func(c *dissemination.Cursor, _ time.Time) { c.Changed(8, 0) }, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
		},
		"changes in a row cost few calls": {
			{do: listed, want: watch},
			{at: 10 * time.Millisecond, do: func(c *dissemination.Cursor, _ time.Time) { c.Changed(9, 1) }, want: pause(190 * time.Millisecond)},
			{at: 200 * time.Millisecond, do: nothing, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
			{at: 900 * time.Millisecond, do: func(c *dissemination.Cursor, _ time.Time) { c.Changed(10, 1) }, want: dissemination.Call{Step: dissemination.Watch, After: 10, Wait: time.Second}},
		},
		"everything is listed again after a while": {
			{do: listed, want: watch},
			{at: 15 * time.Second, do: nothing, want: list},
		},
		"history lost": {
			{do: listed, want: watch},
			{do: func(c *dissemination.Cursor, _ time.Time) { c.Expired() }, want: list},
		},
		"pauses grow up to a bound": {
			{do: listed, want: watch},
			{do: failed, want: pause(50 * time.Millisecond)},
			{do: nothing, want: watch},
			{do: failed, want: pause(100 * time.Millisecond)},
			{do: nothing, want: watch},
			{do: failed, want: pause(200 * time.Millisecond)},
			{do: nothing, want: watch},
			{do: failed, want: pause(400 * time.Millisecond)},
			{do: nothing, want: watch},
			{do: failed, want: pause(500 * time.Millisecond)},
		},
		"a restart lists": {
			{do: listed, want: watch},
			{do: func(c *dissemination.Cursor, _ time.Time) { c.Restart() }, want: list},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := dissemination.NewCursor(start.Add(-time.Minute), dissemination.CursorConfig{
				Wait: time.Second, RelistInterval: 15 * time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MinWatchInterval: 200 * time.Millisecond,
			})
			for i, s := range steps {
				s.do(c, start.Add(s.at))
				if diff := cmp.Diff(s.want, c.Next(start.Add(s.at), 1)); diff != "" {
					t.Errorf("step %d: %s", i, diff)
				}
			}
		})
	}
}

// Guards against calls of a host that starts and finds another source at once.
func TestCursorRestsAtTheStart(t *testing.T) {
	c := dissemination.NewCursor(start, dissemination.CursorConfig{
		Wait: time.Second, RelistInterval: 15 * time.Second, ListDelay: 400 * time.Millisecond, WatchDelay: time.Second,
	})
	want := dissemination.Call{Step: dissemination.Pause, Wait: 400 * time.Millisecond}
	if diff := cmp.Diff(want, c.Next(start, 0)); diff != "" {
		t.Error(diff)
	}
	now := start.Add(400 * time.Millisecond)
	if diff := cmp.Diff(dissemination.Call{Step: dissemination.List}, c.Next(now, 0)); diff != "" {
		t.Error(diff)
	}
	c.Listed(now, 7)
	if diff := cmp.Diff(dissemination.Call{Step: dissemination.Pause, Wait: 600 * time.Millisecond}, c.Next(now, 0)); diff != "" {
		t.Error(diff)
	}
	now = start.Add(time.Second)
	if diff := cmp.Diff(dissemination.Call{Step: dissemination.Watch, After: 7, Wait: time.Second}, c.Next(now, 0)); diff != "" {
		t.Error(diff)
	}
}
