package tokenfront

import (
	"context"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
)

// subscribeToSeeds requests a state update from the seeds while the host has no
// targets or no routes and the platform does not respond.
func (e *peerExchange) subscribeToSeeds(ctx context.Context, now time.Time) {
	if !e.needsSeeds(now) || !e.seedBackoff.due(now) {
		return
	}
	e.asked = e.seeds
	if len(e.referred) > 0 {
		e.asked = e.referred
	}
	// If these do not answer either, the seeds are asked again.
	e.referred = nil
	e.updateConnections(ctx, now)
	for id := range e.asked {
		m := e.subscription(now)
		m.Once = true
		e.send(ctx, []pimentospread.Outbound{{To: id, Message: m}})
	}
}

// needsSeeds reports whether the host lacks targets or routes and cannot expect them from
// the platform or from its source. A configuration that these do not have while they answer
// is not known to other hosts either.
func (e *peerExchange) needsSeeds(now time.Time) bool {
	switch {
	case e.position.Targets > 0 && e.position.Configuration > 0:
		return false
	case e.platformFailing:
		return !e.awaitsPlatformList(now)
	case e.position.Targets > 0:
		return now.Sub(e.platformAnsweredAt) >= listTimeout && now.Sub(e.sourceAnsweredAt) >= listTimeout
	default:
		return now.Sub(e.started) >= seedDelay && !e.awaitsPlatformList(now)
	}
}

// handleReferral records the hosts that a state update names to ask for the targets.
func (e *peerExchange) handleReferral(m *dissemination.StateUpdate) {
	if len(m.Elsewhere) == 0 || e.position.Targets > 0 {
		return
	}
	e.referred = map[pimentospread.HostID]netip.AddrPort{}
	for _, p := range m.Elsewhere {
		if p.Address != e.self.Address {
			e.referred[pimentospread.HostID("seed "+p.Address.String())] = p.Address
		}
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
