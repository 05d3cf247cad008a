package steer

import (
	"math"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/directory"
	"pimentospread/routing"
)

// Weights say how the own failure domain and warm targets are preferred.
type Weights struct {
	// Remote is the weight of a target of another failure domain, where one of the own has 1.
	Remote float64
	// Cold is the weight of a target that is still warming up, where a warm one has 1.
	Cold float64
}

// View is what a host believes of routes and targets at one moment. It is immutable.
type View struct {
	Version  pimentospread.ConfigurationVersion
	Revision pimentospread.ObjectVersion
	// Confirmed is the time up to which routes and targets are known to be complete.
	Confirmed time.Time
	// Domain is the failure domain of the host.
	Domain   pimentospread.FailureDomain
	weights  Weights
	routes   map[netip.AddrPort]pimentospread.Route
	dropped  map[netip.AddrPort]bool
	tokens   map[pimentospread.Token]*directory.Target
	services map[pimentospread.ServiceName][]candidate
}

// candidate is a target that may take new flows.
type candidate struct {
	target *directory.Target
	seed   uint64
	// weight is that of a warm target.
	weight float64
	local  bool
}

// NewView returns the view of a host in the given failure domain.
func NewView(domain pimentospread.FailureDomain, w Weights, table *routing.Table, d *directory.Directory) *View {
	v := &View{
		Version: table.Version(), Revision: d.Revision(), Domain: domain, weights: w,
		routes: table.Routes(), dropped: table.Dropped(),
		tokens:   map[pimentospread.Token]*directory.Target{},
		services: map[pimentospread.ServiceName][]candidate{},
	}
	targets := d.Targets()
	for i := range targets {
		v.add(&targets[i])
	}
	return v
}

// add takes a target. Of two targets with one token only the first by name
// takes new flows, because the token could not tell their packets apart.
func (v *View) add(t *directory.Target) {
	if _, taken := v.tokens[t.Token]; taken {
		return
	}
	v.tokens[t.Token] = t
	if t.Departed || t.Registration.Draining {
		return
	}
	c := candidate{
		target: t, seed: mix(uint64(t.Token)), weight: float64(t.Registration.Slots),
		local: t.Registration.FailureDomain == v.Domain,
	}
	if !c.local {
		c.weight *= v.weights.Remote
	}
	v.services[t.Registration.Service] = append(v.services[t.Registration.Service], c)
}

// At returns the view with a later revision, at which it is still the same.
func (v *View) At(revision pimentospread.ObjectVersion, confirmed time.Time) *View {
	w := *v
	w.Revision, w.Confirmed = revision, confirmed
	return &w
}

// Age returns how long ago routes and targets were known to be complete.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.Confirmed) }

// Targets returns how many targets take new flows.
func (v *View) Targets() int {
	n := 0
	for _, c := range v.services {
		n += len(c)
	}
	return n
}

// rank returns the candidate with the highest weighted rendezvous score for
// the flow among those that are allowed. Every host that knows the same targets
// and stands in the same failure domain gets the same one.
func (v *View) rank(now time.Time, service pimentospread.ServiceName, flow pimentospread.FlowID, allowed func(candidate) bool) (candidate, bool) {
	var best candidate
	high, found := math.Inf(-1), false
	for _, c := range v.services[service] {
		if !allowed(c) {
			continue
		}
		weight := c.weight
		if now.Before(c.target.WarmUntil) {
			weight *= v.weights.Cold
		}
		if s := score(flow, c.seed, weight); s > high {
			best, high, found = c, s, true
		}
	}
	return best, found
}

// score is the logarithm of a uniform number between 0 and 1, divided by the
// weight: the candidate with the highest score is chosen in proportion to its weight.
func score(flow pimentospread.FlowID, seed uint64, weight float64) float64 {
	u := (float64(mix(uint64(flow)^seed)>>11) + 0.5) / (1 << 53)
	return math.Log(u) / weight
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
