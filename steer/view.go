package steer

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/routing"
)

// View is what a host believes of routes and targets at one moment. It is immutable.
type View struct {
	Version  pimentospread.ConfigurationVersion
	Revision pimentospread.ObjectVersion
	// Confirmed is the time up to which routes and targets are known to be complete.
	Confirmed time.Time
	// Domain is the failure domain of the host.
	Domain  pimentospread.FailureDomain
	routes  map[netip.AddrPort]pimentospread.Route
	dropped map[netip.AddrPort]bool
	// built tells views apart that differ in more than their age.
	built    *struct{ _ byte }
	tokens   map[pimentospread.Token]*discovery.Target
	services map[pimentospread.ServiceName][]candidate
}

// candidate is a target that may take new flows.
type candidate struct {
	target *discovery.Target
	slots  float64
	local  bool
}

// NewView returns the view of a host in the given failure domain.
func NewView(domain pimentospread.FailureDomain, table *routing.Table, d *discovery.Directory) *View {
	v := &View{
		Version: table.Version(), Revision: d.Revision(), Domain: domain,
		routes: table.Routes(), dropped: table.Dropped(),
		built:    &struct{ _ byte }{},
		services: map[pimentospread.ServiceName][]candidate{},
	}
	targets := d.Targets()
	v.tokens = make(map[pimentospread.Token]*discovery.Target, len(targets))
	for i := range targets {
		v.add(&targets[i])
	}
	return v
}

// add takes a target. Of two targets with one token only the first by name
// takes new flows, because the token could not tell their packets apart.
func (v *View) add(t *discovery.Target) {
	if _, taken := v.tokens[t.Token]; taken {
		return
	}
	v.tokens[t.Token] = t
	if t.Departed || t.Registration.Draining {
		return
	}
	c := candidate{
		target: t, slots: float64(t.Registration.Slots),
		local: t.Registration.FailureDomain == v.Domain,
	}
	v.services[t.Registration.Service] = append(v.services[t.Registration.Service], c)
}

// WithRevision returns the view with a later revision, at which it is still the same.
func (v *View) WithRevision(revision pimentospread.ObjectVersion, confirmed time.Time) *View {
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

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
