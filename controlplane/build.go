package controlplane

import (
	"net/netip"
	"reflect"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/policy"
	"pimentospread/pool"
)

// Run computes the tables of the release and returns them as an event.
func (b *TableBuild) Run() TablesBuilt {
	set := b.PackedRelease.Release.Set
	pools := map[pimentospread.PoolName]pool.Pool{}
	tables := map[pimentospread.PoolName]*pool.Table{}
	active := b.activePools()
	for _, p := range set.TargetPools {
		pools[p.Name] = p
		tables[p.Name] = active.tableFor(p, b.PackedRelease.Release.Seed)
	}
	policies := map[pimentospread.PolicyName]policy.Policy{}
	for _, p := range set.Policies {
		policies[p.Name] = p
	}
	services := make(map[pimentospread.ServiceID]*dataplane.ServiceView, len(set.Services))
	for _, s := range set.Services {
		v := &dataplane.ServiceView{Service: s, Pool: pools[s.Pool], Policy: policies[s.Policy], Table: tables[s.Pool]}
		if old, ok := b.Services[s.ID]; ok && v.Table != nil {
			v.Table = v.Table.WithPrevious(old.Table)
		}
		services[s.ID] = v
	}
	return TablesBuilt{PackedRelease: b.PackedRelease, Base: b.Base, Services: services}
}

// poolViews maps each pool of the active release to a service that uses it, with the table.
type poolViews map[pimentospread.PoolName]*dataplane.ServiceView

func (b *TableBuild) activePools() poolViews {
	active := poolViews{}
	for _, s := range b.Services {
		active[s.Pool.Name] = s
	}
	return active
}

// tableFor returns the table of a pool. It reuses the active table when the pool
// did not change: most releases change one pool, and a large table takes long to compute.
func (t poolViews) tableFor(p pool.Pool, seed uint64) *pool.Table {
	if old, ok := t[p.Name]; ok && reflect.DeepEqual(old.Pool, p) {
		return old.Table
	}
	return pool.NewTable(p, seed)
}

// IndexByAddress returns the service ID for each service address.
func IndexByAddress(services map[pimentospread.ServiceID]*dataplane.ServiceView) map[netip.AddrPort]pimentospread.ServiceID {
	all := map[netip.AddrPort]pimentospread.ServiceID{}
	for id, s := range services {
		for _, a := range s.Service.Addresses {
			all[a] = id
		}
	}
	return all
}
