// Package routing holds the operators' configuration that is in force at a host.
package routing

import (
	"net/netip"

	"pimentospread"
)

// maxDropped bounds the addresses that are remembered as dropped. It is above
// the routes of one cell at the size of two years, 17,000 addresses over 27 failure domains.
const maxDropped = 4096

// Table is the configuration in force. It never goes back to an earlier version.
type Table struct {
	configuration pimentospread.Configuration
	// routes and dropped are replaced as a whole, so that a reader may keep them.
	routes  map[netip.AddrPort]pimentospread.Route
	dropped map[netip.AddrPort]bool
}

// New returns a table without a configuration.
func New() *Table {
	return &Table{routes: map[netip.AddrPort]pimentospread.Route{}, dropped: map[netip.AddrPort]bool{}}
}

// Version returns the version in force. Zero means none yet.
func (t *Table) Version() pimentospread.ConfigurationVersion { return t.configuration.Version }

// Configuration returns the configuration in force.
func (t *Table) Configuration() pimentospread.Configuration { return t.configuration }

// Routes returns the routes by the address that callers send to. It is not changed later.
func (t *Table) Routes() map[netip.AddrPort]pimentospread.Route { return t.routes }

// Dropped returns the addresses that an earlier version had and the one in
// force has not. It is not changed later.
func (t *Table) Dropped() map[netip.AddrPort]bool { return t.dropped }

// Put takes a configuration. It reports false for one that is not newer.
func (t *Table) Put(c pimentospread.Configuration) bool {
	if c.Version <= t.configuration.Version {
		return false
	}
	routes := make(map[netip.AddrPort]pimentospread.Route, len(c.Routes))
	for _, r := range c.Routes {
		routes[r.Address] = r
	}
	dropped := make(map[netip.AddrPort]bool, len(t.dropped))
	for _, held := range []map[netip.AddrPort]bool{addresses(t.routes), t.dropped} {
		for a := range held {
			if _, back := routes[a]; !back && len(dropped) < maxDropped {
				dropped[a] = true
			}
		}
	}
	t.configuration, t.routes, t.dropped = c, routes, dropped
	return true
}

func addresses(routes map[netip.AddrPort]pimentospread.Route) map[netip.AddrPort]bool {
	set := make(map[netip.AddrPort]bool, len(routes))
	for a := range routes {
		set[a] = true
	}
	return set
}
