// Package routing holds the operators' configuration that a host currently uses.
package routing

import (
	"net/netip"

	"pimentospread"
)

// maxDropped limits how many dropped addresses are remembered. It is above the
// number of routes expected for one cell in two years: 17,000 addresses over 27
// failure domains.
const maxDropped = 4096

// Table holds the current configuration. It never goes back to an earlier version.
type Table struct {
	configuration pimentospread.Configuration
	// routes is replaced and never changed in place, so that readers may keep it.
	routes map[netip.AddrPort]pimentospread.Route
	// dropped is replaced and never changed in place, as routes is.
	dropped map[netip.AddrPort]bool
}

// New returns an empty table.
func New() *Table {
	return &Table{routes: map[netip.AddrPort]pimentospread.Route{}, dropped: map[netip.AddrPort]bool{}}
}

// Version returns the current version. Zero means that no configuration was put yet.
func (t *Table) Version() pimentospread.ConfigurationVersion { return t.configuration.Version }

// Configuration returns the current configuration.
func (t *Table) Configuration() pimentospread.Configuration { return t.configuration }

// Routes returns the routes by the address that callers send to. The map is never modified.
func (t *Table) Routes() map[netip.AddrPort]pimentospread.Route { return t.routes }

// Services returns the services. The slice is never modified.
func (t *Table) Services() []pimentospread.Service { return t.configuration.Services }

// Dropped returns the addresses that had a route in an earlier version and have
// none in the current one. The map is never modified.
func (t *Table) Dropped() map[netip.AddrPort]bool { return t.dropped }

// Put replaces the configuration. It reports false if c is not newer than the current one.
func (t *Table) Put(c pimentospread.Configuration) bool {
	if c.Version <= t.configuration.Version {
		return false
	}
	routes := make(map[netip.AddrPort]pimentospread.Route, len(c.Routes))
	for _, r := range c.Routes {
		routes[r.Address] = r
	}
	dropped := make(map[netip.AddrPort]bool, len(t.dropped))
	for _, earlier := range []map[netip.AddrPort]bool{addresses(t.routes), t.dropped} {
		for address := range earlier {
			if _, routed := routes[address]; !routed && len(dropped) < maxDropped {
				dropped[address] = true
			}
		}
	}
	t.configuration, t.routes, t.dropped = c, routes, dropped
	return true
}

func addresses(routes map[netip.AddrPort]pimentospread.Route) map[netip.AddrPort]bool {
	set := make(map[netip.AddrPort]bool, len(routes))
	for address := range routes {
		set[address] = true
	}
	return set
}
