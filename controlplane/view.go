package controlplane

import (
	"maps"
	"slices"
	"time"

	"pimentospread/dataplane"
	"pimentospread/request"
)

// publish hands out a view when it differs from the last one.
func (c *Cell) publish(now time.Time, a *Actions) {
	s := c.assess(now, a)
	current, previous, changed := c.members.Roster()
	g := &c.release
	v := &dataplane.View{
		Self:            c.config.Self.ID,
		Incarnation:     c.config.Incarnation,
		Services:        g.services,
		Active:          g.active > 0 && g.active == g.inUse.generation(),
		Live:            c.members.AvailableHosts(now, c.Ready()),
		Roster:          current,
		PreviousRoster:  previous,
		RosterChangedAt: changed,
		RosterHeld:      c.rosterHeld(now),
		Flagged:         s.flagged,
		Avoided:         s.avoided,
		Draining:        s.draining,
		Ready:           c.Ready(),
		Unsettled:       !c.start.joined || !c.members.LivenessKnown(now) || c.behind(now),
		CutOff:          c.members.CutOff(now),
		Leaving:         c.leaving,
	}
	if g.inUse != nil {
		v.Release = g.inUse.Release
		v.ByAddress = g.addresses
	}
	if c.view != nil && same(c.view, v) && maps.Equal(c.loading.last, s.lists) {
		return
	}
	if c.view != nil {
		v.Sequence = c.view.Sequence
	}
	v.Sequence++
	c.view, a.View = v, v
	c.loading.published(v.Sequence, s.lists)
}

// same reports whether two views say the same to the deciders. Services follow from the release.
func same(a, b *dataplane.View) bool {
	return a.Release == b.Release &&
		a.Active == b.Active &&
		a.Ready == b.Ready &&
		a.Unsettled == b.Unsettled &&
		a.CutOff == b.CutOff &&
		a.Leaving == b.Leaving &&
		a.Roster.Version == b.Roster.Version &&
		a.PreviousRoster.Version == b.PreviousRoster.Version &&
		a.RosterChangedAt.Equal(b.RosterChangedAt) &&
		maps.Equal(a.RosterHeld, b.RosterHeld) &&
		slices.Equal(a.Live, b.Live) &&
		maps.Equal(a.Flagged, b.Flagged) &&
		maps.Equal(a.Avoided, b.Avoided) &&
		maps.Equal(a.Draining, b.Draining)
}

// rosterHeld returns the roster version that each heard peer announces.
func (c *Cell) rosterHeld(now time.Time) request.AnnouncedVersions {
	held := request.AnnouncedVersions{}
	for _, p := range c.members.Alive(now) {
		held[p.Host.ID] = p.Heartbeat.RosterVersion
	}
	return held
}
