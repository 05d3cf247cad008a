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

// Times of the membership. Every host of a cell must have the same.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the silence after which a peer counts as dead. Three heartbeats may be lost.
	DeadAfter = 2 * time.Second
	// CutOffAfter is the silence of all peers after which a host grants no claim.
	CutOffAfter = 3 * time.Second
	// MinRosterInterval is the shortest time between two changes of the roster. Claims are
	// asked for under the two newest rosters, so a third one must not come before
	// the claims of the first have ended: this is the longest lifetime of a request.
	MinRosterInterval = 10 * time.Second
	// forgetAfter is the silence after which a host outside the roster is forgotten.
	forgetAfter = 10 * time.Second
)

const (
	relaysPerDomain  = 2
	probersPerTarget = 2
)

// Members is the aggregate of the hosts of a cell as one host sees them: the
// roster, hosts beside the roster, and who is alive.
type Members struct {
	self      Host
	startedAt time.Time
	// pauseEndedAt is the end of the last pause of this host; zero without one.
	pauseEndedAt time.Time
	// lastHeartbeatAt is the time of the last heartbeat of any peer.
	lastHeartbeatAt        time.Time
	roster, previousRoster Roster
	rosterChangedAt        time.Time
	// pendingRoster is a newer roster that waits for the end of RosterHold.
	pendingRoster *Roster
	peers         map[pimentospread.HostID]*Peer
	// sortedPeers are the peers by identifier. Every event needs them, and they change seldom.
	sortedPeers []*Peer
	// revision counts the changes of the set of peers and of their addresses.
	revision uint64
}

// NewMembers returns the members as a host knows them at its start. The seeds
// are hosts from its settings, which it asks when the platform does not answer.
func NewMembers(now time.Time, self Host, seeds []Host) *Members {
	m := &Members{self: self, startedAt: now, lastHeartbeatAt: now, peers: map[pimentospread.HostID]*Peer{}}
	for _, h := range seeds {
		m.AddPeer(now, h)
	}
	return m
}

// HandleHeartbeat takes a heartbeat. It reports false when the sender is not known or the
// heartbeat is older than the last one.
func (m *Members) HandleHeartbeat(now time.Time, from pimentospread.HostID, incarnation pimentospread.Incarnation, h Heartbeat) bool {
	p, ok := m.peers[from]
	if !ok || !p.recordHeartbeat(now, incarnation, h) {
		return false
	}
	m.lastHeartbeatAt = now
	return true
}

// AddPeer adds a host that made itself known and that may be missing in the
// roster, which lags. It is forgotten when it is silent and no roster has it.
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

// peersChanged notes that the set of peers is another one.
func (m *Members) peersChanged() {
	m.revision++
	m.sortedPeers = slices.SortedFunc(maps.Values(m.peers), func(a, b *Peer) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
}

// Revision counts the changes of the set of peers and of their addresses.
func (m *Members) Revision() uint64 { return m.revision }

// inRoster says whether the newest roster has the host.
func (m *Members) inRoster(id pimentospread.HostID) bool {
	r := &m.roster
	if m.pendingRoster != nil {
		r = m.pendingRoster
	}
	_, ok := r.Find(id)
	return ok
}

// OfferRoster takes a roster of the platform or of a peer. A peer gives the roster
// before it too, and how long ago it changed. An older one changes nothing.
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

// addRosterHosts takes the hosts of a roster over into the peers.
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

// Expire adopts a roster that has waited long enough and forgets silent hosts outside the roster.
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

// RecordPause notes that this host was paused. The peers that were alive before
// count as alive again for DeadAfter, because their heartbeats could not be heard.
func (m *Members) RecordPause(now, before time.Time) {
	m.pauseEndedAt = now
	for _, p := range m.peers {
		if p.Alive(before) {
			p.LastHeartbeatAt = now
		}
	}
}

// LivenessKnown reports whether the host knows who is alive: since its start or its
// last pause it has heard every peer that could be alive, or DeadAfter has passed.
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
		// After a pause only the peers that were alive before it are waited for.
		expected := m.pauseEndedAt.IsZero() || p.Alive(now)
		if expected && !p.LastHeartbeatAt.After(since) {
			return false
		}
	}
	return true
}

// CutOff reports whether the host has peers and has heard none of them for CutOffAfter.
func (m *Members) CutOff(now time.Time) bool {
	return len(m.peers) > 0 && now.Sub(m.lastHeartbeatAt) >= CutOffAfter
}

// Roster returns the roster in force, the one before it, and the time of the change.
func (m *Members) Roster() (current, previous Roster, changed time.Time) {
	return m.roster, m.previousRoster, m.rosterChangedAt
}

// NewestRosterVersion returns the version of the newest roster that the host has, in force or waiting.
func (m *Members) NewestRosterVersion() pimentospread.ObjectVersion {
	if m.pendingRoster != nil {
		return m.pendingRoster.Version
	}
	return m.roster.Version
}

// Peers returns all known peers, sorted. The caller does not change the slice.
func (m *Members) Peers() []*Peer { return m.sortedPeers }

// Peer returns a known peer.
func (m *Members) Peer(id pimentospread.HostID) (*Peer, bool) {
	p, ok := m.peers[id]
	return p, ok
}

// Alive returns the peers that are alive, sorted. Leaving hosts and hosts that
// are not ready are among them.
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

// AvailableHosts returns the hosts that take new work, sorted; this host is added when it is one of them.
func (m *Members) AvailableHosts(now time.Time, self bool) []Candidate {
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

// eligibleHosts returns the hosts that are alive and do not leave, this host included.
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
func (m *Members) IsRelay(now time.Time) bool {
	domain := m.self.FailureDomain
	hosts := slices.DeleteFunc(m.eligibleHosts(now), func(c Candidate) bool { return c.FailureDomain != domain })
	return slices.Contains(Rank(xxhash.Sum64String("relay "+string(domain)), hosts, relaysPerDomain), m.self.ID)
}

// TargetsToProbe returns those of the targets that this host probes.
func (m *Members) TargetsToProbe(now time.Time, targets []pimentospread.TargetID) []pimentospread.TargetID {
	hosts := m.eligibleHosts(now)
	var mine []pimentospread.TargetID
	for _, t := range targets {
		mac := t.HardwareAddress()
		if slices.Contains(Rank(xxhash.Sum64(mac[:]), hosts, probersPerTarget), m.self.ID) {
			mine = append(mine, t)
		}
	}
	return mine
}
