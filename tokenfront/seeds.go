package tokenfront

import (
	"context"
	"time"

	"pimentospread"
)

// subscribeToSeeds requests a state update from the seeds while the host has no
// targets or no routes and the platform does not respond.
func (e *peerExchange) subscribeToSeeds(ctx context.Context, now time.Time) {
	if e.position.Targets > 0 && e.position.Configuration > 0 || now.Sub(e.started) < seedDelay || e.awaitsPlatformList(now) {
		return
	}
	if !e.seedBackoff.due(now) {
		return
	}
	for id := range e.seeds {
		m := e.subscription(now)
		m.Once = true
		e.send(ctx, []pimentospread.Outbound{{To: id, Message: m}})
	}
}

// awaitsPlatformList reports whether the list of targets from the platform is likely
// to arrive soon. A whole list from another host would then only load its link.
func (e *peerExchange) awaitsPlatformList(now time.Time) bool {
	return e.position.Targets == 0 && now.Sub(e.platformAnsweredAt) < listTimeout && now.Sub(e.started) < platformListTimeout
}

// backoff spaces messages that are repeated until they are answered. The pauses start
// short, because the connection to the peer may not be open at first.
type backoff struct {
	next  time.Time
	pause time.Duration
}

// due reports whether to send now, and if so schedules the next time.
func (b *backoff) due(now time.Time) bool {
	if now.Before(b.next) {
		return false
	}
	b.pause = min(max(2*b.pause, minRetryPause), subscribeInterval)
	b.next = now.Add(b.pause)
	return true
}
