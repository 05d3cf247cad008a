package dissemination_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread/dissemination"
)

// Guards against a cursor that misses changes, that overloads a platform which does
// not answer, or that relies on watches forever.
func TestCursor(t *testing.T) {
	list, watch := dissemination.Call{Step: dissemination.List}, dissemination.Call{Step: dissemination.Watch, After: 7, Wait: time.Second}
	pause := func(d time.Duration) dissemination.Call {
		return dissemination.Call{Step: dissemination.Pause, Wait: d}
	}
	type step struct {
		at     time.Duration
		action func(c *dissemination.Cursor, now time.Time)
		want   dissemination.Call
	}
	listed := func(c *dissemination.Cursor, now time.Time) { c.Listed(now, 7) }
	failed := func(c *dissemination.Cursor, _ time.Time) { c.Failed() }
	none := func(*dissemination.Cursor, time.Time) {}
	tests := map[string][]step{
		"the first call is a list": {{action: none, want: list}},
		"a watch follows a list":   {{action: listed, want: watch}},
		"a watch starts from the last revision": {
			{action: listed, want: watch},
			{action: func(c *dissemination.Cursor, _ time.Time) { c.Changed(9, 0) }, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
			{action: func(c *dissemination.Cursor, _ time.Time) { c.Changed(8, 0) }, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
		},
		"the interval of watches is limited during changes": {
			{action: listed, want: watch},
			{at: 10 * time.Millisecond, action: func(c *dissemination.Cursor, _ time.Time) { c.Changed(9, 1) }, want: pause(190 * time.Millisecond)},
			{at: 200 * time.Millisecond, action: none, want: dissemination.Call{Step: dissemination.Watch, After: 9, Wait: time.Second}},
			{at: 900 * time.Millisecond, action: func(c *dissemination.Cursor, _ time.Time) { c.Changed(10, 1) }, want: dissemination.Call{Step: dissemination.Watch, After: 10, Wait: time.Second}},
		},
		"a list is repeated after the relist interval": {
			{action: listed, want: watch},
			{at: 15 * time.Second, action: none, want: list},
		},
		"the history expired": {
			{action: listed, want: watch},
			{action: func(c *dissemination.Cursor, _ time.Time) { c.Expired() }, want: list},
		},
		"the backoff doubles up to the maximum": {
			{action: listed, want: watch},
			{action: failed, want: pause(50 * time.Millisecond)},
			{action: none, want: watch},
			{action: failed, want: pause(100 * time.Millisecond)},
			{action: none, want: watch},
			{action: failed, want: pause(200 * time.Millisecond)},
			{action: none, want: watch},
			{action: failed, want: pause(400 * time.Millisecond)},
			{action: none, want: watch},
			{action: failed, want: pause(500 * time.Millisecond)},
		},
		"a list follows a restart": {
			{action: listed, want: watch},
			{action: func(c *dissemination.Cursor, _ time.Time) { c.Restart() }, want: list},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := dissemination.NewCursor(start.Add(-time.Minute), dissemination.CursorConfig{
				WatchTimeout: time.Second, RelistInterval: 15 * time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MinWatchInterval: 200 * time.Millisecond,
			})
			for i, s := range steps {
				s.action(c, start.Add(s.at))
				if diff := cmp.Diff(s.want, c.Next(start.Add(s.at), 1)); diff != "" {
					t.Errorf("step %d: call (-want +got): %s", i, diff)
				}
			}
		})
	}
}

// Guards against platform calls of a host that starts and finds another source soon.
func TestCursorDelaysFirstCalls(t *testing.T) {
	c := dissemination.NewCursor(start, dissemination.CursorConfig{
		WatchTimeout: time.Second, RelistInterval: 15 * time.Second, ListDelay: 400 * time.Millisecond, WatchDelay: time.Second,
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
