package steer

import (
	"time"

	"pimentospread"
	"pimentospread/balance"
)

// evenLoad sets how Weights.EvenLoad makes a host prefer some targets. Its values are chosen by
// the figures in docs/design/balance.md.
type evenLoad struct {
	ring balance.RingConfig
	// maxWindowCost is the cost up to which the cheapest target of the window is taken without
	// a look at the others.
	maxWindowCost float64
	// averageWeight is the weight of the average load of a target relative to its running requests.
	averageWeight float64
	// newWeight is the part of the new request that counts as load of a target, so that a slow target
	// costs more also while nothing runs there.
	newWeight float64
}

// defaultEvenLoad returns the values in use. With a maxWindowCost of 0.3, a host looks beyond its
// window if it has a request running at each target of the window that has two slots. With 0.6, a
// tenth of the flows of 60 hosts leave the failure domain at 80% load.
func defaultEvenLoad() evenLoad {
	return evenLoad{ring: balance.RingConfig{HostsPerTarget: 4, MinTargets: 2}, maxWindowCost: 0.3, averageWeight: 0.3, newWeight: 0.25}
}

// defaultSpeeds returns how speeds are learned. A host of 60 sees about 10 responses per second of a
// target of its window, and a host of 300 about 5 at 80% load.
func defaultSpeeds() balance.SpeedsConfig {
	return balance.SpeedsConfig{Memory: 5 * time.Second, Shrinkage: 2, MaxFactor: 8}
}

// weigh returns the load of a target from its running requests, their average and the factor of its speed.
func (e evenLoad) weigh(running, average, factor float64) float64 {
	return (running+e.averageWeight*average+e.newWeight)*factor - e.newWeight
}

// position returns the place of the host among the hosts of its failure domain.
func (v *View) position() balance.Position {
	var hosts []pimentospread.HostID
	for _, h := range v.Hosts {
		if h.FailureDomain == v.FailureDomain {
			hosts = append(hosts, h.ID)
		}
	}
	return balance.NewPosition(v.Self, hosts)
}

// localNames returns the names of the local options.
func (o *options) localNames() []pimentospread.RegistrationName {
	names := make([]pimentospread.RegistrationName, 0, len(o.local))
	for i := range o.local {
		names = append(names, o.local[i].target.Registration.Name)
	}
	return names
}

// split divides the local options into those in the window and the others.
func (o *options) split(ring *balance.Ring) {
	for _, l := range o.local {
		if ring.Covered(l.target.Registration.Name) {
			o.window = append(o.window, l)
		} else {
			o.outside = append(o.outside, l)
		}
	}
}
