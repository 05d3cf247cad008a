package tokenfront

import "time"

const (
	// emptySocketWait is a wait for a packet that shows that none was queued. Receiving a
	// queued packet takes less, also on a host with a small share of a core.
	emptySocketWait = time.Millisecond
	// backlogThreshold is the time without an empty socket after which packets may have
	// been queued for about that long.
	backlogThreshold = 100 * time.Millisecond
)

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
