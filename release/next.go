package release

import (
	"fmt"
	"time"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/service"
)

// Publication holds the metadata of a release that is being published.
type Publication struct {
	ID        pimentospread.PublishID
	At        time.Time
	Publisher string
	// Seed is used only for the first release of a cell.
	Seed uint64
}

// Next returns the release that results from publishing the set after current, or
// the faults that prevent it. It assigns unused IDs to new services and
// targets, and the epochs of each pool. If current is nil, it returns the first
// release of a cell.
func Next(current *Release, set Set, p Publication) (Release, []pimentospread.Fault) {
	set = set.withDefaults()
	faults := append(set.Check(), set.checkAssigned()...)
	if len(faults) > 0 {
		return Release{}, faults
	}
	next := Release{
		Generation: 1, PublishID: p.ID, PublishedAt: p.At, Publisher: p.Publisher,
		Seed: p.Seed, NextServiceID: 1, NextTargetID: 1,
	}
	if current != nil {
		next.Generation = current.Generation + 1
		next.Seed = current.Seed
		next.NextServiceID = current.NextServiceID
		next.NextTargetID = current.NextTargetID
	} else {
		current = &Release{}
	}
	next.Set = Set{Policies: set.Policies}
	next.assignServices(current, set.Services)
	next.assignPools(current, set)
	if next.NextServiceID > pimentospread.MaxServiceID+1 {
		return Release{}, []pimentospread.Fault{pimentospread.Faultf("Services", "no service ID is left")}
	}
	return next, nil
}

func (r *Release) assignServices(current *Release, services []service.Service) {
	for _, s := range services {
		if old, ok := current.Set.Service(s.Name); ok && old.Pool == s.Pool {
			s.ID = old.ID
		} else {
			s.ID = r.NextServiceID
			r.NextServiceID++
		}
		r.Set.Services = append(r.Set.Services, s)
	}
}

func (r *Release) assignPools(current *Release, set Set) {
	for _, p := range set.TargetPools {
		old, known := current.Set.Pool(p.Name)
		next := pool.Pool{Name: p.Name}
		for _, t := range p.Targets {
			t.ID = r.assignTargetID(old, t)
			next.Targets = append(next.Targets, t)
		}
		var previous *pool.Pool
		if known {
			previous = &old
		}
		next.Epochs = pool.NextEpochs(previous, next, r.PublishedAt, set.idleTimeout(p.Name))
		r.Set.TargetPools = append(r.Set.TargetPools, next)
	}
}

// assignTargetID returns the ID of a target: the current one if its addresses
// are unchanged, otherwise a new one. A new address counts as a new target, so that
// packets for the previous target do not reach it.
func (r *Release) assignTargetID(old pool.Pool, t pool.Target) pimentospread.TargetID {
	existing, ok := old.ByName(t.Name)
	if ok && existing.FlowAddress == t.FlowAddress && existing.RequestAddress == t.RequestAddress {
		return existing.ID
	}
	id := r.NextTargetID
	r.NextTargetID++
	return id
}

// idleTimeout returns the longest idle timeout of a pool's services, or the default
// if there is none.
func (s Set) idleTimeout(name pimentospread.PoolName) time.Duration {
	longest := policy.Defaults().IdleTimeout.Duration
	first := true
	for _, v := range s.Services {
		if v.Pool != name {
			continue
		}
		p, ok := s.Policy(v.Policy)
		if ok && (first || p.IdleTimeout.Duration > longest) {
			longest, first = p.IdleTimeout.Duration, false
		}
	}
	return longest
}

// checkAssigned returns a fault for each value that only publishing may assign.
func (s Set) checkAssigned() []pimentospread.Fault {
	var faults []pimentospread.Fault
	for i, v := range s.Services {
		if v.ID != 0 {
			faults = append(faults, pimentospread.Faultf(fmt.Sprintf("Services[%d].ID", i), "is assigned by publishing"))
		}
	}
	for i, p := range s.TargetPools {
		path := fmt.Sprintf("TargetPools[%d]", i)
		if len(p.Epochs) > 0 {
			faults = append(faults, pimentospread.Faultf(path+".Epochs", "are assigned by publishing"))
		}
		for j, t := range p.Targets {
			if t.ID != 0 {
				faults = append(faults, pimentospread.Faultf(fmt.Sprintf("%s.Targets[%d].ID", path, j), "is assigned by publishing"))
			}
		}
	}
	return faults
}

// withDefaults returns the set with defaults for omitted optional fields.
func (s Set) withDefaults() Set {
	out := Set{Services: s.Services}
	for _, p := range s.Policies {
		out.Policies = append(out.Policies, p.WithDefaults())
	}
	for _, p := range s.TargetPools {
		targets := append([]pool.Target(nil), p.Targets...)
		for i := range targets {
			if targets[i].State == "" {
				targets[i].State = pool.Active
			}
		}
		p.Targets = targets
		out.TargetPools = append(out.TargetPools, p)
	}
	return out
}

// SourceSet returns the set without the values that publishing assigned, as an
// operator would write it. Changes and rollbacks are based on it.
func (r Release) SourceSet() Set {
	out := Set{Policies: r.Set.Policies}
	for _, v := range r.Set.Services {
		v.ID = 0
		out.Services = append(out.Services, v)
	}
	for _, p := range r.Set.TargetPools {
		source := pool.Pool{Name: p.Name}
		for _, t := range p.Targets {
			t.ID = 0
			source.Targets = append(source.Targets, t)
		}
		out.TargetPools = append(out.TargetPools, source)
	}
	return out
}
