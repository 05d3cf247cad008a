package tokenfront

import (
	"context"
	"time"

	"pimentospread"
)

// bootstrap asks the seeds for news while the host knows too little and the
// platform does not answer.
func (n *neighbors) bootstrap(ctx context.Context, now time.Time) {
	if n.position.Targets > 0 && n.position.Configuration > 0 || now.Sub(n.started) < seedDelay || n.listing(now) {
		return
	}
	if !n.bootstraps.due(now) {
		return
	}
	for id := range n.seeds {
		m := n.subscription(now)
		m.Once = true
		n.send(ctx, []pimentospread.Outbound{{To: id, Message: m}})
	}
}

// listing reports whether the platform is about to tell the host the targets. A
// whole list from another host then loads its link for nothing.
func (n *neighbors) listing(now time.Time) bool {
	return n.position.Targets == 0 && now.Sub(n.platformHeard) < listTimeout && now.Sub(n.started) < listPatience
}

// retries spaces messages that are repeated until they are answered. The first
// ones follow each other quickly, since the link to the peer may not be there yet.
type retries struct {
	next  time.Time
	pause time.Duration
}

// due reports whether to send now.
func (r *retries) due(now time.Time) bool {
	if now.Before(r.next) {
		return false
	}
	r.pause = min(max(2*r.pause, firstRetry), subscribeInterval)
	r.next = now.Add(r.pause)
	return true
}
