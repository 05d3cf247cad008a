package tokenfront

import (
	"testing"
	"time"
)

// Guards against resets of flows whose targets run, by a host that gets too little processor
// time: packets that it has not handled yet look like packets that did not come. In a trial
// hosts at 50 to 90% of their processor time reset 6 such flows.
func TestLagIsDetected(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		// delays are those of ticks that are due every tickInterval.
		delays []time.Duration
		want   bool
	}{
		"in time":              {delays: []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 0}},
		"one tick late":        {delays: []time.Duration{0, 0, 200 * time.Millisecond, 200 * time.Millisecond}, want: true},
		"late three ticks ago": {delays: []time.Duration{0, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}, want: true},
		"late ten ticks ago":   {delays: append([]time.Duration{0, 200 * time.Millisecond}, make([]time.Duration, 10)...)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := lagMonitor{started: start}
			now := start
			for i, delay := range tc.delays {
				now = start.Add(time.Duration(i)*tickInterval + delay)
				m.ticked(now, tickInterval)
			}
			if got := m.lagging(now); got != tc.want {
				t.Errorf("lagging: %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against conclusions about targets that a host draws from the times of packets
// that waited in its own socket.
func TestBacklog(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		// wait is the time that each of 1,000 packets is waited for, and handling the time
		// that it takes to handle it.
		wait, handling time.Duration
		want           bool
	}{
		"idle":                             {wait: 5 * time.Millisecond, handling: 20 * time.Microsecond},
		"busy, with pauses":                {wait: time.Millisecond, handling: 3 * time.Millisecond},
		"always a packet in the socket":    {wait: 10 * time.Microsecond, handling: 200 * time.Microsecond, want: true},
		"the same on a slow share of CPU":  {wait: 900 * time.Microsecond, handling: 2 * time.Millisecond, want: true},
		"a few packets at once after idle": {wait: 2 * time.Millisecond, handling: 50 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var b backlog
			now := start
			for range 1000 {
				waiting := now
				now = now.Add(tc.wait)
				b.received(waiting, now)
				now = now.Add(tc.handling)
			}
			if got := b.possible(now); got != tc.want {
				t.Errorf("backlog possible: %t, want %t", got, tc.want)
			}
		})
	}
}
