package control

import (
	"net/netip"

	"pimentospread"
	"pimentospread/decide"
	"pimentospread/policy"
	"pimentospread/pool"
)

// Run makes the tables that were asked for.
func (b *Build) Run() TablesBuilt {
	set := b.Content.Release.Set
	pools := map[pimentospread.PoolName]pool.Pool{}
	tables := map[pimentospread.PoolName]*pool.Table{}
	for _, p := range set.TargetPools {
		pools[p.Name] = p
		tables[p.Name] = pool.NewTable(p, b.Content.Release.Seed)
	}
	policies := map[pimentospread.PolicyName]policy.Policy{}
	for _, p := range set.Policies {
		policies[p.Name] = p
	}
	services := make(map[pimentospread.ServiceID]*decide.ServiceView, len(set.Services))
	for _, s := range set.Services {
		v := &decide.ServiceView{Service: s, Pool: pools[s.Pool], Policy: policies[s.Policy], Table: tables[s.Pool]}
		if old, ok := b.Services[s.ID]; ok && v.Table != nil {
			v.Table = v.Table.WithPrevious(old.Table)
		}
		services[s.ID] = v
	}
	return TablesBuilt{Content: b.Content, Base: b.Base, Services: services}
}

func byAddress(services map[pimentospread.ServiceID]*decide.ServiceView) map[netip.AddrPort]pimentospread.ServiceID {
	all := map[netip.AddrPort]pimentospread.ServiceID{}
	for id, s := range services {
		for _, a := range s.Service.Addresses {
			all[a] = id
		}
	}
	return all
}
