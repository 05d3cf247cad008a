// Package balance spreads the flows of many hosts evenly over targets although each host
// observes only the load that it sent itself. A Ring gives each host a window of the targets,
// so that a host causes, and so observes, a large part of the load of the targets that it uses.
// Speeds learns from response times which targets are slow. Nothing is exchanged between hosts.
package balance

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// RingConfig sets the size of the windows.
type RingConfig struct {
	// HostsPerTarget is the number of hosts whose windows include a target.
	HostsPerTarget int
	// MinTargets is the least number of targets in a window, on average. More hosts include a
	// target if the windows would be smaller.
	MinTargets int
}

// Position is the place of a host among the hosts of its failure domain in hash order.
type Position struct {
	rank, hosts int
}

// NewPosition returns the place of a host in a list that need not be sorted. It is the zero
// Position, for which all targets are in the window, if the list does not include the host.
func NewPosition(self pimentospread.HostID, hosts []pimentospread.HostID) Position {
	p, known := Position{hosts: len(hosts)}, false
	hash := xxhash.Sum64String(string(self))
	for _, h := range hosts {
		other := xxhash.Sum64String(string(h))
		known = known || h == self
		if other < hash || other == hash && h < self {
			p.rank++
		}
	}
	if !known {
		return Position{}
	}
	return p
}

// Known reports whether the list included the host.
func (p Position) Known() bool { return p.hosts > 0 }

// Ring is the window of one host on the targets of one service in its failure domain.
//
// Hosts and targets are spaced evenly on a circle in hash order. The window of a host begins
// at its place and is as long as the distance to the host HostsPerTarget places ahead. So each target is
// in the windows of the same number of hosts, and the sizes of the windows differ by one at most.
// A host or target that joins or leaves moves the others by less than the distance of two
// neighbors. Hosts whose lists differ by a host have windows that differ by as little.
type Ring struct {
	covered map[pimentospread.RegistrationName]bool
}

// NewRing returns the window of the host at the given position. The list of targets need not
// be sorted. The service rotates the circle, so that hosts have other neighbors in each service.
func NewRing(c RingConfig, p Position, service pimentospread.ServiceName, targets []pimentospread.RegistrationName) *Ring {
	if len(targets) == 0 {
		return &Ring{}
	}
	width := max(c.HostsPerTarget, (c.MinTargets*p.hosts+len(targets)-1)/len(targets))
	if width >= p.hosts {
		return &Ring{}
	}
	type placed struct {
		hash uint64
		name pimentospread.RegistrationName
	}
	order := make([]placed, len(targets))
	for i, t := range targets {
		order[i] = placed{xxhash.Sum64String(string(t)), t}
	}
	slices.SortFunc(order, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	r := &Ring{covered: map[pimentospread.RegistrationName]bool{}}
	// The circle has a length of 2*targets*hosts, so that all places are whole numbers.
	length, step := 2*len(targets)*p.hosts, 2*len(targets)
	rotation, _ := bits.Mul64(xxhash.Sum64String(string(service)), uint64(length))
	first := (p.rank*step + int(rotation)) % length
	for i, t := range order {
		if ((2*i+1)*p.hosts-first+length)%length < width*step {
			r.covered[t.name] = true
		}
	}
	return r
}

// All reports whether the window includes all targets.
func (r *Ring) All() bool { return r.covered == nil }

// Covered reports whether the window includes the target.
func (r *Ring) Covered(target pimentospread.RegistrationName) bool {
	return r.covered == nil || r.covered[target]
}
