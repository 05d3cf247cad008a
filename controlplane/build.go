package controlplane

import (
	"net/netip"
	"reflect"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/policy"
	"pimentospread/pool"
)

// Run makes the tables that were asked for.
func (b *TableBuild) Run() TablesBuilt {
	set := b.Content.Release.Set
	pools := map[pimentospread.PoolName]pool.Pool{}
	tables := map[pimentospread.PoolName]*pool.Table{}
	active := b.activePools()
	for _, p := range set.TargetPools {
		pools[p.Name] = p
		tables[p.Name] = active.tableFor(p, b.Content.Release.Seed)
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
	return TablesBuilt{Content: b.Content, Base: b.Base, Services: services}
}

// poolViews are the pools of the active release with their tables.
type poolViews map[pimentospread.PoolName]*dataplane.ServiceView

func (b *TableBuild) activePools() poolViews {
	active := poolViews{}
	for _, s := range b.Services {
		active[s.Pool.Name] = s
	}
	return active
}

// tableFor returns the table of a pool. A change mostly concerns one pool, and
// the table of a large one takes long, so the others keep theirs.
func (t poolViews) tableFor(p pool.Pool, seed uint64) *pool.Table {
	if old, ok := t[p.Name]; ok && reflect.DeepEqual(old.Pool, p) {
		return old.Table
	}
	return pool.NewTable(p, seed)
}

// IndexByAddress finds the service of each address.
func IndexByAddress(services map[pimentospread.ServiceID]*dataplane.ServiceView) map[netip.AddrPort]pimentospread.ServiceID {
	all := map[netip.AddrPort]pimentospread.ServiceID{}
	for id, s := range services {
		for _, a := range s.Service.Addresses {
			all[a] = id
		}
	}
	return all
}
