package tokenfront

import (
	"testing"
	"time"
)

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
