package member

import (
	"time"

	"pimentospread"
)

// Peer is the state that a host keeps for another host of its cell.
type Peer struct {
	Host        Host
	Incarnation pimentospread.Incarnation
	// LastHeartbeatAt is the time of the last heartbeat; zero before the first one.
	LastHeartbeatAt time.Time
	// Heartbeat is the last heartbeat received.
	Heartbeat Heartbeat
	addedAt   time.Time
}

// lastSeen returns the time of the last heartbeat, or the time at which the peer was
// added when there was none.
func (p *Peer) lastSeen() time.Time {
	if p.LastHeartbeatAt.IsZero() {
		return p.addedAt
	}
	return p.LastHeartbeatAt
}

// recordHeartbeat stores a heartbeat. It returns false when the heartbeat is not newer than the last one.
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

// Alive reports whether a heartbeat was received within DeadAfter.
func (p *Peer) Alive(now time.Time) bool {
	return !p.LastHeartbeatAt.IsZero() && now.Sub(p.LastHeartbeatAt) < DeadAfter
}

// acceptsWork reports whether the peer is alive, ready and not leaving. The roster may
// list a peer as leaving before its own heartbeats do.
func (p *Peer) acceptsWork(now time.Time) bool {
	return p.Alive(now) && p.Heartbeat.Ready && !p.Heartbeat.Leaving && p.Host.State != Leaving
}
