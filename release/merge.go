package release

import (
	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/service"
)

// Service returns the service with the given name.
func (s Set) Service(name pimentospread.ServiceName) (service.Service, bool) {
	return find(s.Services, name, serviceName)
}

// Pool returns the target pool with the given name.
func (s Set) Pool(name pimentospread.PoolName) (pool.Pool, bool) {
	return find(s.TargetPools, name, poolName)
}

// Policy returns the policy with the given name.
func (s Set) Policy(name pimentospread.PolicyName) (policy.Policy, bool) {
	return find(s.Policies, name, policyName)
}

// Merge returns the set with the objects of change added. They replace objects of
// the same kind and name.
func (s Set) Merge(change Set) Set {
	return Set{
		Services:    merge(s.Services, change.Services, serviceName),
		TargetPools: merge(s.TargetPools, change.TargetPools, poolName),
		Policies:    merge(s.Policies, change.Policies, policyName),
	}
}

// WithTargetState returns the set with the state of one target changed, and false
// if the pool or the target does not exist.
func (s Set) WithTargetState(name pimentospread.PoolName, target pimentospread.TargetName, state pool.State) (Set, bool) {
	p, ok := s.Pool(name)
	if !ok {
		return s, false
	}
	found := false
	targets := append([]pool.Target(nil), p.Targets...)
	for i := range targets {
		if targets[i].Name == target {
			targets[i].State = state
			found = true
		}
	}
	p.Targets = targets
	return s.Merge(Set{TargetPools: []pool.Pool{p}}), found
}

func serviceName(v service.Service) pimentospread.ServiceName { return v.Name }
func poolName(p pool.Pool) pimentospread.PoolName             { return p.Name }
func policyName(p policy.Policy) pimentospread.PolicyName     { return p.Name }

func find[T any, N comparable](objects []T, name N, nameOf func(T) N) (T, bool) {
	for _, o := range objects {
		if nameOf(o) == name {
			return o, true
		}
	}
	var zero T
	return zero, false
}

// merge keeps duplicates within change, so that Set.Check reports them.
func merge[T any, N comparable](old, change []T, nameOf func(T) N) []T {
	replaced := make(map[N]bool, len(change))
	for _, o := range change {
		replaced[nameOf(o)] = true
	}
	var out []T
	for _, o := range old {
		if !replaced[nameOf(o)] {
			out = append(out, o)
		}
	}
	return append(out, change...)
}
