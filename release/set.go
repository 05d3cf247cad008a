// Package release defines the release: the valid set of all objects in force in a
// cell, with its generation.
package release

import (
	"fmt"
	"net/netip"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/service"
)

// Set is a set of objects as written by an operator.
type Set struct {
	Services    []service.Service `json:"Services"`
	TargetPools []pool.Pool       `json:"TargetPools"`
	Policies    []policy.Policy   `json:"Policies"`
}

// Check returns all faults of the set: invalid objects, duplicate names, references
// to missing objects, and addresses that belong to several services.
func (s Set) Check() []pimentospread.Fault {
	var faults []pimentospread.Fault
	pools := map[pimentospread.PoolName]bool{}
	for i, p := range s.TargetPools {
		path := fmt.Sprintf("TargetPools[%d]", i)
		if pools[p.Name] {
			faults = append(faults, pimentospread.Faultf(path+".Name", "%q appears twice", p.Name))
		}
		pools[p.Name] = true
		faults = append(faults, p.Check(path)...)
	}
	policies := map[pimentospread.PolicyName]bool{}
	for i, p := range s.Policies {
		path := fmt.Sprintf("Policies[%d]", i)
		if policies[p.Name] {
			faults = append(faults, pimentospread.Faultf(path+".Name", "%q appears twice", p.Name))
		}
		policies[p.Name] = true
		faults = append(faults, p.Check(path)...)
	}
	return append(faults, s.checkServices(pools, policies)...)
}

func (s Set) checkServices(pools map[pimentospread.PoolName]bool, policies map[pimentospread.PolicyName]bool) []pimentospread.Fault {
	var faults []pimentospread.Fault
	names := map[pimentospread.ServiceName]bool{}
	owners := map[netip.AddrPort]pimentospread.ServiceName{}
	for i, v := range s.Services {
		path := fmt.Sprintf("Services[%d]", i)
		faults = append(faults, v.Check(path)...)
		if names[v.Name] {
			faults = append(faults, pimentospread.Faultf(path+".Name", "%q appears twice", v.Name))
		}
		names[v.Name] = true
		if !pools[v.Pool] {
			faults = append(faults, pimentospread.Faultf(path+".Pool", "target pool %q does not exist", v.Pool))
		}
		if !policies[v.Policy] {
			faults = append(faults, pimentospread.Faultf(path+".Policy", "policy %q does not exist", v.Policy))
		}
		for j, a := range v.Addresses {
			if other, taken := owners[a]; taken {
				faults = append(faults, pimentospread.Faultf(fmt.Sprintf("%s.Addresses[%d]", path, j), "%s belongs to service %q already", a, other))
			}
			owners[a] = v.Name
		}
	}
	return faults
}
