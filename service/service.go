// Package service holds the service: addresses under which callers reach one
// target pool by one policy.
package service

import (
	"fmt"
	"net/netip"

	"pimentospread"
)

// Service is an object that the operator writes. It refers to a pool and a policy by name.
type Service struct {
	// ID is assigned when the release is published; the operator leaves it out.
	ID pimentospread.ServiceID `json:"ID,omitempty"`
	// Name is unique among services and is the Uri-Host of the service's requests.
	Name pimentospread.ServiceName `json:"Name"`
	// Addresses take flows (TCP) and requests (UDP). No other service may have one of them.
	Addresses []netip.AddrPort `json:"Addresses"`
	// Pool names the target pool.
	Pool pimentospread.PoolName `json:"Pool"`
	// Policy names the policy.
	Policy pimentospread.PolicyName `json:"Policy"`
}

// Check returns the faults of the service by itself; path is its place in the set.
func (s Service) Check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if s.Name == "" {
		faults = append(faults, pimentospread.Faultf(path+".Name", "is empty"))
	}
	if len(s.Addresses) == 0 {
		faults = append(faults, pimentospread.Faultf(path+".Addresses", "needs at least one address"))
	}
	for i, a := range s.Addresses {
		if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() {
			faults = append(faults, pimentospread.Faultf(fmt.Sprintf("%s.Addresses[%d]", path, i), "%q is not an address with a port", a))
		}
	}
	return faults
}
