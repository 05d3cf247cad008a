package controlplane

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
)

// releaseState tracks a release from its arrival to its activation. Its
// generations never decrease.
type releaseState struct {
	// held is the newest release received.
	held *PackedRelease
	// distributed is the release whose tables are in the view; nil before the first one.
	distributed *PackedRelease
	services    map[pimentospread.ServiceID]*dataplane.ServiceView
	// addresses maps service addresses to the services of the distributed release.
	addresses map[netip.AddrPort]pimentospread.ServiceID
	prepared  pimentospread.Generation
	active    pimentospread.Generation
	// activeServices are the services of the active generation with their tables.
	activeServices map[pimentospread.ServiceID]*dataplane.ServiceView
}

// acceptRelease replaces the held release if packed is newer, and requests its tables.
func (c *Cell) acceptRelease(packed *PackedRelease, a *Actions) {
	if packed == nil || packed.Release == nil {
		return
	}
	g := &c.release
	if g.held != nil && packed.generation() == g.held.generation() && packed.Digest != g.held.Digest {
		a.Anomalies = append(a.Anomalies, AnomalyDivergence)
	}
	if !packed.supersedes(g.held) {
		return
	}
	g.held = packed
	c.requestTables(a)
}

// handleReleaseRead accepts a release that was read from the platform. A release that is
// older than the held one means that the platform was restored from an older copy: the held
// release was accepted and in force, so it is written again. The expected version keeps an
// outdated read from replacing a newer release.
func (c *Cell) handleReleaseRead(e ReleaseRead, a *Actions) {
	held := c.release.held
	if e.PackedRelease != nil && e.Version > 0 && e.PackedRelease.generation() < held.generation() {
		a.Republish = &Republication{PackedRelease: held, Older: e.PackedRelease, Expected: e.Version}
	}
	c.acceptRelease(e.PackedRelease, a)
}

func (c *Cell) requestTables(a *Actions) {
	g := &c.release
	a.Build = &TableBuild{PackedRelease: g.held, Base: g.active, Services: g.activeServices}
}

// handleTablesBuilt distributes the tables of the held release. Tables of another
// release are outdated and ignored. Tables with another base are rebuilt, because
// they would route new flows by a release older than the active one.
func (c *Cell) handleTablesBuilt(e TablesBuilt, a *Actions) {
	g := &c.release
	if e.PackedRelease != g.held || g.distributed == g.held {
		return
	}
	if e.Base != g.active {
		c.requestTables(a)
		return
	}
	g.distributed, g.services = e.PackedRelease, e.Services
	g.addresses = IndexByAddress(e.Services)
}

// activate makes the prepared generation active for new flows once every live
// peer has prepared it. It reports whether the prepared or active generation changed.
func (c *Cell) activate(now time.Time) bool {
	g := &c.release
	changed := false
	if n := g.distributed.generation(); n > g.prepared && c.view.Generation() == n && c.loads.allPrepared(n) {
		g.prepared, changed = n, true
	}
	if g.prepared == g.active || g.prepared != g.distributed.generation() || !c.members.LivenessKnown(now) {
		return changed
	}
	for _, p := range c.members.Alive(now) {
		if p.Heartbeat.Prepared < g.prepared {
			return changed
		}
	}
	g.active, g.activeServices = g.prepared, g.services
	return true
}

// behindPeers reports whether a live peer routes new flows by a release that this
// host has not prepared. This happens when the peer declared this host dead.
func (c *Cell) behindPeers(now time.Time) bool {
	for _, p := range c.members.Alive(now) {
		if p.Heartbeat.Active > c.release.prepared {
			return true
		}
	}
	return false
}
