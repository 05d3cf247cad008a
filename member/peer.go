package member

import (
	"time"

	"pimentospread"
)

// Peer is what a host knows of one other host.
type Peer struct {
	Host        Host
	Incarnation pimentospread.Incarnation
	// LastHeartbeatAt is the time of the last heartbeat; zero before the first one.
	LastHeartbeatAt time.Time
	// Heartbeat is the last heartbeat.
	Heartbeat Heartbeat
	addedAt   time.Time
}

// lastSeen is the time of the last heartbeat, or of the admission before the first one.
func (p *Peer) lastSeen() time.Time {
	if p.LastHeartbeatAt.IsZero() {
		return p.addedAt
	}
	return p.LastHeartbeatAt
}

// recordHeartbeat takes a heartbeat. It reports false for one that is older than the last.
func (p *Peer) recordHeartbeat(now time.Time, incarnation pimentospread.Incarnation, h Heartbeat) bool {
	if incarnation < p.Incarnation {
		return false
	}
	if incarnation == p.Incarnation && h.Sequence <= p.Heartbeat.Sequence {
		return false
	}
	p.Incarnation, p.LastHeartbeatAt, p.Heartbeat = incarnation, now, h
	return true
}

// Alive reports whether the peer was heard recently enough.
func (p *Peer) Alive(now time.Time) bool {
	return !p.LastHeartbeatAt.IsZero() && now.Sub(p.LastHeartbeatAt) < DeadAfter
}

// acceptsWork says that the peer is ready and stays. The platform may know earlier
// than the peer itself that it leaves.
func (p *Peer) acceptsWork(now time.Time) bool {
	return p.Alive(now) && p.Heartbeat.Ready && !p.Heartbeat.Leaving && p.Host.State != Leaving
}
