package steer

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/routing"
)

// View is an immutable snapshot of the routes and targets that a host knows.
type View struct {
	// Version is the version of the configuration.
	Version pimentospread.ConfigurationVersion
	// Revision is the revision of the platform that the targets correspond to.
	Revision pimentospread.ObjectVersion
	// Confirmed is when routes and targets were last known to be up to date.
	Confirmed time.Time
	// FailureDomain is the failure domain of the host.
	FailureDomain pimentospread.FailureDomain
	routes        map[netip.AddrPort]pimentospread.Route
	// dropped holds the addresses whose route was removed.
	dropped map[netip.AddrPort]bool
	// identity is shared by views that differ only in Revision and Confirmed.
	identity *struct{ _ byte }
	// Self is the host, and Hosts are the hosts in its list, sorted by ID.
	Self  pimentospread.HostID
	Hosts []Host
	// settings holds what operators configured for each service.
	settings map[pimentospread.ServiceName]pimentospread.Service
	// evacuated holds the failure domains that get no new flows.
	evacuated map[pimentospread.FailureDomain]bool
	// evacuationsUnknown is set while evacuated is not known.
	evacuationsUnknown bool
	// evacuatedServices holds the services with targets in evacuated failure domains.
	evacuatedServices map[pimentospread.ServiceName]bool
	// tokens holds all targets, including departed ones.
	tokens map[pimentospread.Token]*discovery.Target
	// known holds the services of all targets, including those that take no new flows.
	known map[pimentospread.ServiceName]bool
	// services holds the targets that take new flows.
	services map[pimentospread.ServiceName][]candidate
}

// candidate is a target that may take new flows.
type candidate struct {
	target *discovery.Target
	slots  float64
	// warmUntil is when the target is warm.
	warmUntil time.Time
	// local is set if the target is in the failure domain of the host.
	local bool
	// warmupRate is how many new flows a second the target bears while it is cold. Zero means
	// that there is no limit, or that the target has reported that it is warm.
	warmupRate float64
}

// Host is a host of the system.
type Host struct {
	ID            pimentospread.HostID
	FailureDomain pimentospread.FailureDomain
}

// State is what a view is made of.
type State struct {
	// Self and FailureDomain are the host that the view is for.
	Self          pimentospread.HostID
	FailureDomain pimentospread.FailureDomain
	Table         *routing.Table
	Directory     *discovery.Directory
	// Evacuated holds the failure domains whose targets get no new flows.
	Evacuated map[pimentospread.FailureDomain]bool
	// EvacuationsUnknown is set while the host has not received the evacuated failure domains.
	EvacuationsUnknown bool
	// Hosts are the hosts in the list of the host, itself included, sorted by ID. It is empty
	// until the host has a list.
	Hosts []Host
}

// NewView returns a view of the state.
func NewView(s State) *View {
	v := &View{
		Version: s.Table.Version(), Revision: s.Directory.Revision(), FailureDomain: s.FailureDomain,
		routes: s.Table.Routes(), dropped: s.Table.Dropped(),
		identity: &struct{ _ byte }{}, Self: s.Self, Hosts: s.Hosts,
		services: map[pimentospread.ServiceName][]candidate{},
		settings: map[pimentospread.ServiceName]pimentospread.Service{}, evacuated: s.Evacuated, evacuationsUnknown: s.EvacuationsUnknown,
		evacuatedServices: map[pimentospread.ServiceName]bool{}, known: map[pimentospread.ServiceName]bool{},
	}
	for _, service := range s.Table.Services() {
		v.settings[service.Name] = service
	}
	targets := s.Directory.Targets()
	v.tokens = make(map[pimentospread.Token]*discovery.Target, len(targets))
	for i := range targets {
		v.add(&targets[i])
	}
	return v
}

// add adds a target. If two targets have the same token, only the first by name
// is used, because their packets cannot be distinguished.
func (v *View) add(t *discovery.Target) {
	if _, taken := v.tokens[t.Token]; taken {
		return
	}
	v.tokens[t.Token], v.known[t.Registration.Service] = t, true
	if t.Departed || t.Registration.Draining {
		return
	}
	if v.evacuated[t.Registration.FailureDomain] {
		v.evacuatedServices[t.Registration.Service] = true
		return
	}
	c := candidate{
		target: t, slots: float64(t.Registration.Slots), warmUntil: t.WarmUntil,
		local: t.Registration.FailureDomain == v.FailureDomain,
	}
	// A target that reports no warm-up is warm, however recently it was listed.
	if t.Registration.Warmup > 0 {
		c.warmupRate = v.settings[t.Registration.Service].WarmupRate
	}
	v.services[t.Registration.Service] = append(v.services[t.Registration.Service], c)
}

// acceptsSYNs reports whether a target may get the retransmitted SYN of a flow that was assigned to
// it before. A draining target may, because it accepts SYNs and may have answered the first one.
func (v *View) acceptsSYNs(t *discovery.Target) bool {
	return !t.Departed && !v.evacuated[t.Registration.FailureDomain]
}

// latest returns the latest process of a target, which answers the packets of its flows if
// any process does.
func (v *View) latest(t *discovery.Target) *discovery.Target {
	if l, ok := v.tokens[t.Latest]; ok {
		return l
	}
	return t
}

// WithRevision returns a copy of the view for a later revision that changed neither
// routes nor targets.
func (v *View) WithRevision(revision pimentospread.ObjectVersion, confirmed time.Time) *View {
	updated := *v
	updated.Revision, updated.Confirmed = revision, confirmed
	return &updated
}

// Complete reports whether the view has a configuration, a list of targets and, if the host
// watches them, the evacuations. A packet cannot be judged by a part of them: a flow whose target
// is not in the list yet is not a flow without a target.
func (v *View) Complete() bool { return v.Version > 0 && v.Revision > 0 && !v.evacuationsUnknown }

// Evacuated returns the number of evacuated failure domains.
func (v *View) Evacuated() int { return len(v.evacuated) }

// Age returns the time since routes and targets were last known to be up to date.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.Confirmed) }

// Targets returns the number of targets that take new flows.
func (v *View) Targets() int {
	n := 0
	for _, c := range v.services {
		n += len(c)
	}
	return n
}

// mix spreads the bits of a hash. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
