package controlplane

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
)

// releaseState follows a release from its arrival to its activation. No
// generation in it ever falls.
type releaseState struct {
	// held is the newest content.
	held *PackedRelease
	// distributed is the content whose tables the deciders get; nil before the first one.
	distributed *PackedRelease
	services    map[pimentospread.ServiceID]*dataplane.ServiceView
	// addresses find the services in use.
	addresses map[netip.AddrPort]pimentospread.ServiceID
	prepared  pimentospread.Generation
	active    pimentospread.Generation
	// activeServices have the tables of the active generation.
	activeServices map[pimentospread.ServiceID]*dataplane.ServiceView
}

// acceptRelease takes a content that is newer than the one held.
func (c *Cell) acceptRelease(n *PackedRelease, a *Actions) {
	if n == nil || n.Release == nil {
		return
	}
	g := &c.release
	if g.held != nil && n.generation() == g.held.generation() && n.Digest != g.held.Digest {
		a.Anomalies = append(a.Anomalies, AnomalyDivergence)
	}
	if !n.supersedes(g.held) {
		return
	}
	g.held = n
	c.requestTables(a)
}

func (c *Cell) requestTables(a *Actions) {
	g := &c.release
	a.Build = &TableBuild{Content: g.held, Base: g.active, Services: g.activeServices}
}

// handleTablesBuilt takes the tables of the held content. Tables of another content come
// too late, and tables with another base would send new flows by a release
// before the active one.
func (c *Cell) handleTablesBuilt(e TablesBuilt, a *Actions) {
	g := &c.release
	if e.Content != g.held || g.distributed == g.held {
		return
	}
	if e.Base != g.active {
		c.requestTables(a)
		return
	}
	g.distributed, g.services = e.Content, e.Services
	g.addresses = IndexByAddress(e.Services)
}

// activate lets new flows go by the prepared generation when every live peer
// has prepared it. It reports whether anything changed.
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

// behindPeers reports whether a live peer sends new flows by a release that this
// host has not prepared. The peer took this host for dead.
func (c *Cell) behindPeers(now time.Time) bool {
	for _, p := range c.members.Alive(now) {
		if p.Heartbeat.Active > c.release.prepared {
			return true
		}
	}
	return false
}
