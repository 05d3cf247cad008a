// Package pool defines target pools: the targets, the epochs of the pool's
// membership and the table that maps flows to targets.
package pool

import (
	"fmt"
	"net/netip"

	"pimentospread"
)

// State is the state of a target, which determines whether it takes new work.
type State string

// States of a target.
const (
	// Active targets take new work.
	Active State = "Active"
	// Draining targets keep their flows and requests but take no new ones.
	Draining State = "Draining"
)

// Target is one back-end endpoint of a pool.
type Target struct {
	// ID is assigned when the release is published. The operator omits it.
	ID   pimentospread.TargetID   `json:"ID,omitempty"`
	Name pimentospread.TargetName `json:"Name"`
	// FlowAddress receives VXLAN over UDP.
	FlowAddress netip.AddrPort `json:"FlowAddress"`
	// RequestAddress receives CoAP over UDP.
	RequestAddress netip.AddrPort `json:"RequestAddress"`
	// HealthAddress answers health and load probes over HTTP.
	HealthAddress netip.AddrPort              `json:"HealthAddress"`
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	// Slots is the maximum number of requests that the target runs concurrently.
	Slots pimentospread.Slots `json:"Slots"`
	// Connections is the maximum number of flows of the target.
	Connections pimentospread.Connections `json:"Connections"`
	// Weight is the target's share of flows relative to the other targets. 0 means 1.
	Weight pimentospread.Weight `json:"Weight,omitempty"`
	// State defaults to Active.
	State State `json:"State,omitempty"`
}

// Pool is a group of targets that operators configure. Services refer to it by name.
type Pool struct {
	Name    pimentospread.PoolName `json:"Name"`
	Targets []Target               `json:"Targets"`
	// Epochs are assigned when the release is published, oldest first. The last one is current.
	Epochs []Epoch `json:"Epochs,omitempty"`
}

// ByName returns the target with the given name.
func (p Pool) ByName(name pimentospread.TargetName) (Target, bool) {
	for _, t := range p.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// ByID returns the target with the given ID.
func (p Pool) ByID(id pimentospread.TargetID) (Target, bool) {
	for _, t := range p.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Check returns the faults within the pool. path is the location of the pool in
// the set of objects.
func (p Pool) Check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if p.Name == "" {
		faults = append(faults, pimentospread.Faultf(path+".Name", "is empty"))
	}
	if len(p.Targets) == 0 {
		faults = append(faults, pimentospread.Faultf(path+".Targets", "needs at least one target"))
	}
	names := map[pimentospread.TargetName]bool{}
	for i, t := range p.Targets {
		at := fmt.Sprintf("%s.Targets[%d]", path, i)
		if names[t.Name] {
			faults = append(faults, pimentospread.Faultf(at+".Name", "%q appears twice", t.Name))
		}
		names[t.Name] = true
		faults = append(faults, t.check(at)...)
	}
	return faults
}

func (t Target) check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if t.Name == "" {
		faults = append(faults, pimentospread.Faultf(path+".Name", "is empty"))
	}
	addresses := []struct {
		name  string
		value netip.AddrPort
	}{{"FlowAddress", t.FlowAddress}, {"RequestAddress", t.RequestAddress}, {"HealthAddress", t.HealthAddress}}
	for _, a := range addresses {
		if !a.value.IsValid() || a.value.Port() == 0 {
			faults = append(faults, pimentospread.Faultf(path+"."+a.name, "%q is not an address with a port", a.value))
		}
	}
	if t.Slots == 0 {
		faults = append(faults, pimentospread.Faultf(path+".Slots", "must be above zero"))
	}
	if t.Connections == 0 {
		faults = append(faults, pimentospread.Faultf(path+".Connections", "must be above zero"))
	}
	if t.State != "" && t.State != Active && t.State != Draining {
		faults = append(faults, pimentospread.Faultf(path+".State", "%q is neither Active nor Draining", t.State))
	}
	return faults
}
