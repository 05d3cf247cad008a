package controlplane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/member"
)

// repair limits how often a host sends queries and announcements.
type repair struct {
	queriedAt   time.Time
	announcedAt time.Time
	// attempts counts the queries; it selects a different peer for each.
	attempts int
}

// queryPeers sends a query to one peer that has newer state than this host.
func (c *Cell) queryPeers(now time.Time, a *Actions) {
	since := now.Sub(c.repair.queriedAt)
	if !c.repair.queriedAt.IsZero() && since < queryInterval {
		return
	}
	candidates := c.peersAhead(now)
	if len(candidates) == 0 && !c.repair.queriedAt.IsZero() && since >= digestQueryInterval {
		candidates = c.peersWithOtherDigest(now)
	}
	if len(candidates) == 0 {
		return
	}
	c.repair.queriedAt = now
	c.repair.attempts++
	a.Messages = append(a.Messages, pimentospread.Outbound{To: c.choosePeer(candidates), Message: c.newQuery(false)})
}

// peersAhead returns the live peers from which this host can fetch newer state: those
// with the newest release, else those with a newer roster. A host that has received
// no reply yet falls back to all live peers, because heartbeats do not contain the flags.
func (c *Cell) peersAhead(now time.Time) []*member.Peer {
	var releases, rosters []*member.Peer
	alive := c.members.Alive(now)
	newest := c.release.held.generation()
	for _, p := range alive {
		if p.Heartbeat.Held > newest {
			newest, releases = p.Heartbeat.Held, nil
		}
		if p.Heartbeat.Held == newest && newest > c.release.held.generation() {
			releases = append(releases, p)
		}
		if p.Heartbeat.RosterVersion > c.members.NewestRosterVersion() {
			rosters = append(rosters, p)
		}
	}
	switch {
	case len(releases) > 0:
		return releases
	case len(rosters) > 0:
		return rosters
	case !c.start.peerReplied:
		return alive
	default:
		return nil
	}
}

// peersWithOtherDigest returns the live peers that hold the same generation with a different digest.
func (c *Cell) peersWithOtherDigest(now time.Time) []*member.Peer {
	var differing []*member.Peer
	digest := c.digest()
	for _, p := range c.members.Alive(now) {
		if p.Heartbeat.Held == c.release.held.generation() && p.Heartbeat.Digest != digest {
			differing = append(differing, p)
		}
	}
	return differing
}

// choosePeer returns the peer for the next query. It rotates over the peers and
// prefers the host's own failure domain for two of three queries, so that a release
// crosses between two domains few times.
func (c *Cell) choosePeer(peers []*member.Peer) pimentospread.HostID {
	var local []*member.Peer
	for _, p := range peers {
		if p.Host.FailureDomain == c.config.Self.FailureDomain {
			local = append(local, p)
		}
	}
	if len(local) > 0 && c.repair.attempts%3 != 0 {
		peers = local
	}
	offset := xxhash.Sum64String(string(c.config.Self.ID))
	return peers[(offset+uint64(c.repair.attempts))%uint64(len(peers))].Host.ID
}

// announce introduces this host to the peers from which it receives no heartbeats.
// Their rosters may not list it.
func (c *Cell) announce(now time.Time, a *Actions) {
	interval := announceInterval
	if !c.start.joined {
		interval = queryInterval
	}
	if !c.repair.announcedAt.IsZero() && now.Sub(c.repair.announcedAt) < interval {
		return
	}
	c.repair.announcedAt = now
	for _, p := range c.members.Peers() {
		if !p.Alive(now) {
			a.Messages = append(a.Messages, pimentospread.Outbound{To: p.Host.ID, Message: c.newQuery(true)})
		}
	}
}

func (c *Cell) newQuery(announce bool) *ReleaseQuery {
	return &ReleaseQuery{
		Generation:    c.release.held.generation(),
		Digest:        c.release.held.digest(),
		RosterVersion: c.members.NewestRosterVersion(),
		Announce:      announce,
		Sender:        c.config.Self,
	}
}

// handleQuery replies to a query with the newer state of this host.
func (c *Cell) handleQuery(now time.Time, e QueryReceived, a *Actions) {
	if e.Query.Sender.ID != e.From {
		return
	}
	c.members.AddPeer(now, e.Query.Sender)
	if e.Query.Announce {
		return
	}
	reply := &ReleaseReply{Flags: c.health.sortedFlags()}
	held := c.release.held
	newer := held.generation() > e.Query.Generation || held.generation() == e.Query.Generation && held.digest() > e.Query.Digest
	if held != nil && newer {
		reply.Content = held.Packed
	}
	current, previous, changed := c.members.Roster()
	if current.Version >= e.Query.RosterVersion && current.Version > 0 {
		reply.Roster, reply.Previous, reply.Age = current, previous, now.Sub(changed)
	}
	a.Messages = append(a.Messages, pimentospread.Outbound{To: e.From, Message: reply})
}

// handleReply applies the reply of a peer.
func (c *Cell) handleReply(now time.Time, e ReplyReceived, a *Actions) {
	c.start.peerReplied = true
	c.members.OfferRoster(now, e.Reply.Roster, e.Reply.Previous, e.Reply.Age)
	c.health.mergeFlags(e.Reply.Flags)
	c.acceptRelease(e.PackedRelease, a)
}
