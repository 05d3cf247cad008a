package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Timing of the membership protocol. All hosts of a cell must use the same values.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which a peer counts as dead. It
	// tolerates three lost heartbeats.
	DeadAfter = 2 * time.Second
	// IsolatedAfter is the time without a heartbeat from any peer after which a host
	// counts as isolated.
	IsolatedAfter = 3 * time.Second
	// MinRosterInterval is the minimum time between two changes of the roster. Claims are
	// requested under the two newest rosters, so a third roster must not be adopted
	// before the claims under the first have ended. It equals the longest lifetime of a request.
	MinRosterInterval = 10 * time.Second
	// forgetAfter is the time without a heartbeat after which a host outside the roster is removed.
	forgetAfter = 10 * time.Second
)

const (
	relaysPerDomain  = 2
	probersPerTarget = 2
)

// Members is the aggregate of the cell's hosts from the view of one host: the
// roster, known hosts outside the roster, and the liveness of all of them.
type Members struct {
	self      Host
	startedAt time.Time
	// pauseEndedAt is the end of this host's last pause; zero if there was none.
	pauseEndedAt time.Time
	// lastHeartbeatAt is the time of the last heartbeat from any peer.
	lastHeartbeatAt        time.Time
	roster, previousRoster Roster
	rosterChangedAt        time.Time
	// pendingRoster is a newer roster that is adopted at the end of MinRosterInterval.
	pendingRoster *Roster
	peers         map[pimentospread.HostID]*Peer
	// sortedPeers are the peers sorted by ID. They are cached because every event
	// needs them and they rarely change.
	sortedPeers []*Peer
	// revision increases with each change of the peer set or of a peer's address.
	revision uint64
}

// NewMembers returns the membership of a starting host. The seeds are the hosts
// from its settings that it contacts when the platform does not answer.
func NewMembers(now time.Time, self Host, seeds []Host) *Members {
	m := &Members{self: self, startedAt: now, lastHeartbeatAt: now, peers: map[pimentospread.HostID]*Peer{}}
	for _, h := range seeds {
		m.AddPeer(now, h)
	}
	return m
}

// HandleHeartbeat records a heartbeat. It returns false when the sender is
// unknown or the heartbeat is not newer than the last one.
func (m *Members) HandleHeartbeat(now time.Time, from pimentospread.HostID, incarnation pimentospread.Incarnation, h Heartbeat) bool {
	p, ok := m.peers[from]
	if !ok || !p.recordHeartbeat(now, incarnation, h) {
		return false
	}
	m.lastHeartbeatAt = now
	return true
}

// AddPeer adds a host, or updates the record of a host outside the roster. A host
// may be missing from the roster, which can lag; Expire then removes it once it
// sends no heartbeats.
func (m *Members) AddPeer(now time.Time, h Host) {
	if h.ID == m.self.ID {
		return
	}
	p, known := m.peers[h.ID]
	if !known {
		p = &Peer{Host: h, addedAt: now}
		m.peers[h.ID] = p
		m.peersChanged()
	}
	if !m.inRoster(h.ID) && p.Host != h {
		p.Host = h
		m.peersChanged()
	}
}

// peersChanged updates the revision and the sorted peers after a change.
func (m *Members) peersChanged() {
	m.revision++
	m.sortedPeers = slices.SortedFunc(maps.Values(m.peers), func(a, b *Peer) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
}

// Revision returns a counter that increases with each change of the peer set or of
// a peer's address.
func (m *Members) Revision() uint64 { return m.revision }

// inRoster reports whether the newest roster lists the host.
func (m *Members) inRoster(id pimentospread.HostID) bool {
	r := &m.roster
	if m.pendingRoster != nil {
		r = m.pendingRoster
	}
	_, ok := r.Find(id)
	return ok
}

// OfferRoster processes a roster from the platform or a peer and ignores one that
// is older than the newest known. A peer also supplies the previous roster and the
// age of the change. The roster is adopted at once or after MinRosterInterval.
func (m *Members) OfferRoster(now time.Time, r, previous Roster, age time.Duration) {
	switch {
	case r.Version == 0 || r.Version < m.NewestRosterVersion():
		return
	case r.Version == m.roster.Version:
		if m.previousRoster.Version == 0 && previous.Version != 0 {
			m.previousRoster, m.rosterChangedAt = previous, now.Add(-age)
		}
		return
	case m.previousRoster.Version != 0 && now.Sub(m.rosterChangedAt) < MinRosterInterval && previous.Version != m.roster.Version:
		m.pendingRoster = &r
		m.addRosterHosts(now, r)
		return
	}
	m.adoptRoster(now, r, previous, age)
}

func (m *Members) adoptRoster(now time.Time, r, previous Roster, age time.Duration) {
	if previous.Version == 0 {
		previous, age = m.roster, 0
	}
	m.previousRoster, m.roster, m.rosterChangedAt, m.pendingRoster = previous, r, now.Add(-age), nil
	m.addRosterHosts(now, r)
}

// addRosterHosts adds the hosts of a roster to the peers.
func (m *Members) addRosterHosts(now time.Time, r Roster) {
	for _, h := range r.Hosts {
		if h.ID == m.self.ID {
			continue
		}
		m.AddPeer(now, h)
		m.peers[h.ID].Host = h
	}
	m.peersChanged()
}

// Expire adopts a pending roster whose waiting time is over and removes hosts
// outside the roster that send no heartbeats.
func (m *Members) Expire(now time.Time) {
	if m.pendingRoster != nil && now.Sub(m.rosterChangedAt) >= MinRosterInterval {
		m.adoptRoster(now, *m.pendingRoster, Roster{}, 0)
	}
	for id, p := range m.peers {
		if !m.inRoster(id) && m.roster.Version != 0 && now.Sub(p.lastSeen()) >= forgetAfter {
			delete(m.peers, id)
			m.peersChanged()
		}
	}
}

// RecordPause records that this host was paused from before until now. The peers
// that were alive before the pause count as alive for another DeadAfter, because
// their heartbeats could not be received.
func (m *Members) RecordPause(now, before time.Time) {
	m.pauseEndedAt = now
	for _, p := range m.peers {
		if p.Alive(before) {
			p.LastHeartbeatAt = now
		}
	}
}

// LivenessKnown reports whether the liveness of all peers is known: since its start
// or last pause the host has received a heartbeat from every peer that could be
// alive, or DeadAfter has passed.
func (m *Members) LivenessKnown(now time.Time) bool {
	since := m.startedAt
	if m.pauseEndedAt.After(since) {
		since = m.pauseEndedAt
	}
	if now.Sub(since) >= DeadAfter {
		return true
	}
	if m.roster.Version == 0 {
		return false
	}
	for _, p := range m.peers {
		// After a pause, only peers that were alive before it are expected.
		expected := m.pauseEndedAt.IsZero() || p.Alive(now)
		if expected && !p.LastHeartbeatAt.After(since) {
			return false
		}
	}
	return true
}

// Isolated reports whether the host has peers but has received no heartbeat for IsolatedAfter.
func (m *Members) Isolated(now time.Time) bool {
	return len(m.peers) > 0 && now.Sub(m.lastHeartbeatAt) >= IsolatedAfter
}

// Roster returns the roster in force, the one before it, and the time of the change.
func (m *Members) Roster() (current, previous Roster, changed time.Time) {
	return m.roster, m.previousRoster, m.rosterChangedAt
}

// NewestRosterVersion returns the version of the newest known roster, in force or pending.
func (m *Members) NewestRosterVersion() pimentospread.ObjectVersion {
	if m.pendingRoster != nil {
		return m.pendingRoster.Version
	}
	return m.roster.Version
}

// Peers returns all known peers, sorted by ID. The caller must not modify the slice.
func (m *Members) Peers() []*Peer { return m.sortedPeers }

// Peer returns the peer with the given ID and whether it is known.
func (m *Members) Peer(id pimentospread.HostID) (*Peer, bool) {
	p, ok := m.peers[id]
	return p, ok
}

// Alive returns the peers that are alive, sorted by ID. They include leaving hosts
// and hosts that are not ready.
func (m *Members) Alive(now time.Time) []*Peer {
	alive := make([]*Peer, 0, len(m.sortedPeers))
	for _, p := range m.sortedPeers {
		if p.Alive(now) {
			alive = append(alive, p)
		}
	}
	return alive
}

// Addresses returns the peer address of each known peer.
func (m *Members) Addresses() map[pimentospread.HostID]netip.AddrPort {
	all := make(map[pimentospread.HostID]netip.AddrPort, len(m.peers))
	for id, p := range m.peers {
		all[id] = p.Host.PeerAddress
	}
	return all
}

// LiveHosts returns the hosts that accept new work, sorted by ID. This
// host is included when self is true and the roster does not list it as leaving.
func (m *Members) LiveHosts(now time.Time, self bool) []Candidate {
	var all []Candidate
	for _, p := range m.Peers() {
		if p.acceptsWork(now) {
			all = append(all, Candidate{ID: p.Host.ID, FailureDomain: p.Host.FailureDomain})
		}
	}
	if h, ok := m.roster.Find(m.self.ID); self && (!ok || h.State != Leaving) {
		all = append(all, Candidate{ID: m.self.ID, FailureDomain: m.self.FailureDomain})
	}
	slices.SortFunc(all, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// eligibleHosts returns the hosts that can be relays or probers: this host and all
// live peers that are not leaving.
func (m *Members) eligibleHosts(now time.Time) []Candidate {
	all := []Candidate{{ID: m.self.ID, FailureDomain: m.self.FailureDomain}}
	for _, p := range m.peers {
		if p.Alive(now) && !p.Heartbeat.Leaving {
			all = append(all, Candidate{ID: p.Host.ID, FailureDomain: p.Host.FailureDomain})
		}
	}
	return all
}

// IsRelay reports whether this host watches the platform for its failure domain.
func (m *Members) IsRelay(now time.Time) bool { return m.isRelay(m.eligibleHosts(now)) }

// IsRelayWhileLeaving reports whether this host, which is leaving, watches the platform
// because all live hosts of its failure domain are leaving. They steer packets for some time
// more, and nobody else reads changes for them.
func (m *Members) IsRelayWhileLeaving(now time.Time) bool {
	all := []Candidate{{ID: m.self.ID, FailureDomain: m.self.FailureDomain}}
	for _, p := range m.Alive(now) {
		if p.Host.FailureDomain != m.self.FailureDomain {
			continue
		}
		if !p.Heartbeat.Leaving {
			return false
		}
		all = append(all, Candidate{ID: p.Host.ID, FailureDomain: p.Host.FailureDomain})
	}
	return m.isRelay(all)
}

// isRelay reports whether this host is a relay of its failure domain if the relays are among
// the given hosts.
func (m *Members) isRelay(hosts []Candidate) bool {
	domain := m.self.FailureDomain
	hosts = slices.DeleteFunc(hosts, func(c Candidate) bool { return c.FailureDomain != domain })
	return slices.Contains(Rank(xxhash.Sum64String("relay "+string(domain)), hosts, relaysPerDomain), m.self.ID)
}

// TargetsToProbe returns the targets that this host has to probe.
func (m *Members) TargetsToProbe(now time.Time, targets []pimentospread.TargetID) []pimentospread.TargetID {
	hosts := m.eligibleHosts(now)
	var assigned []pimentospread.TargetID
	for _, t := range targets {
		mac := t.HardwareAddress()
		if slices.Contains(Rank(xxhash.Sum64(mac[:]), hosts, probersPerTarget), m.self.ID) {
			assigned = append(assigned, t)
		}
	}
	return assigned
}
