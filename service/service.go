// Package service defines services: the addresses at which callers reach a target
// pool under a policy.
package service

import (
	"fmt"
	"net/netip"

	"pimentospread"
)

// Service is a configuration object of the operator. It refers to a pool and a policy by name.
type Service struct {
	// ID is assigned when the release is published. The operator omits it.
	ID pimentospread.ServiceID `json:"ID,omitempty"`
	// Name is unique among services. Requests carry it in the Uri-Host option.
	Name pimentospread.ServiceName `json:"Name"`
	// Addresses receive flows (TCP) and requests (UDP). Each belongs to one service only.
	Addresses []netip.AddrPort `json:"Addresses"`
	// Pool is the name of the target pool.
	Pool pimentospread.PoolName `json:"Pool"`
	// Policy is the name of the policy.
	Policy pimentospread.PolicyName `json:"Policy"`
}

// Check returns the faults within the service. path is the location of the service
// in the set of objects.
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
