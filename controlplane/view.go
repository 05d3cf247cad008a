package controlplane

import (
	"maps"
	"slices"
	"time"

	"pimentospread/dataplane"
	"pimentospread/request"
)

// publishView returns a new view in the actions when it differs from the last one.
func (c *Cell) publishView(now time.Time, a *Actions) {
	s := c.assessTargets(now, a)
	current, previous, changed := c.members.Roster()
	g := &c.release
	v := &dataplane.View{
		Self:               c.config.Self.ID,
		Incarnation:        c.config.Incarnation,
		Services:           g.services,
		Active:             g.active > 0 && g.active == g.distributed.generation(),
		LiveHosts:          c.members.LiveHosts(now, c.Ready()),
		Roster:             current,
		PreviousRoster:     previous,
		RosterChangedAt:    changed,
		PeerRosterVersions: c.peerRosterVersions(now),
		Flagged:            s.flagged,
		Avoided:            s.avoided,
		Draining:           s.draining,
		Ready:              c.Ready(),
		PeerStateUnknown:   !c.start.joined || !c.members.LivenessKnown(now) || c.behindPeers(now),
		Isolated:           c.members.Isolated(now),
		Leaving:            c.leaving,
	}
	if g.distributed != nil {
		v.Release = g.distributed.Release
		v.ServiceByAddress = g.addresses
	}
	if c.view != nil && sameView(c.view, v) && maps.Equal(c.loads.newestLists, s.lists) {
		return
	}
	if c.view != nil {
		v.Sequence = c.view.Sequence
	}
	v.Sequence++
	c.view, a.View = v, v
	c.loads.viewPublished(v.Sequence, s.lists)
}

// sameView reports whether two views are equal except for their sequence numbers.
// It does not compare services, which are derived from the release.
func sameView(a, b *dataplane.View) bool {
	return a.Release == b.Release &&
		a.Active == b.Active &&
		a.Ready == b.Ready &&
		a.PeerStateUnknown == b.PeerStateUnknown &&
		a.Isolated == b.Isolated &&
		a.Leaving == b.Leaving &&
		a.Roster.Version == b.Roster.Version &&
		a.PreviousRoster.Version == b.PreviousRoster.Version &&
		a.RosterChangedAt.Equal(b.RosterChangedAt) &&
		maps.Equal(a.PeerRosterVersions, b.PeerRosterVersions) &&
		slices.Equal(a.LiveHosts, b.LiveHosts) &&
		maps.Equal(a.Flagged, b.Flagged) &&
		maps.Equal(a.Avoided, b.Avoided) &&
		maps.Equal(a.Draining, b.Draining)
}

// peerRosterVersions returns the roster version in the last heartbeat of each live peer.
func (c *Cell) peerRosterVersions(now time.Time) request.AnnouncedVersions {
	versions := request.AnnouncedVersions{}
	for _, p := range c.members.Alive(now) {
		versions[p.Host.ID] = p.Heartbeat.RosterVersion
	}
	return versions
}
