package tokenfront

import (
	"sync/atomic"
	"time"
)

const (
	// emptySocketWait is a wait for a packet that shows that none was queued. Receiving a
	// queued packet takes less, also on a host with a small share of a core.
	emptySocketWait = time.Millisecond
	// backlogThreshold is the time without an empty socket after which packets may have
	// been queued for about that long.
	backlogThreshold = 100 * time.Millisecond
	// lagThreshold is the delay of a tick from which the duties of this host wait for
	// processor time.
	lagThreshold = 50 * time.Millisecond
	// lagDuration is how long the times of packets are not relied on after such a tick. A
	// caller sends a request again after 0.2, 0.6 and 1.4 s.
	lagDuration = 2 * time.Second
)

// lagMonitor detects that the duties of this host wait for processor time, from the ticks of
// the controller. For a duty, waiting for it looks like waiting for a packet.
type lagMonitor struct {
	started time.Time
	last    time.Time
	// until is the time since the start until which the host counts as lagging. The steering
	// duty reads it.
	until atomic.Int64
}

// ticked records a tick that was due an interval after the one before.
func (m *lagMonitor) ticked(now time.Time, interval time.Duration) {
	if !m.last.IsZero() && now.Sub(m.last) >= interval+lagThreshold {
		m.until.Store(int64(now.Add(lagDuration).Sub(m.started)))
	}
	m.last = now
}

// lagging reports whether the duties of this host have recently waited for processor time.
func (m *lagMonitor) lagging(now time.Time) bool {
	return now.Sub(m.started) < time.Duration(m.until.Load())
}

// backlog detects that packets wait in the socket of this host, for example because it is
// overloaded. Packets then arrive later than their senders sent them.
type backlog struct {
	// emptyAt is when the socket was last seen empty.
	emptyAt time.Time
}

// received records that a packet was received after waiting for it since the given time.
func (b *backlog) received(waiting, now time.Time) {
	if now.Sub(waiting) >= emptySocketWait || b.emptyAt.IsZero() {
		b.emptyAt = now
	}
}

// possible reports whether the packet received now may have waited in the socket.
func (b *backlog) possible(now time.Time) bool { return now.Sub(b.emptyAt) >= backlogThreshold }
