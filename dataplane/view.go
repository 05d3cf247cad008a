// Package dataplane takes the decisions of a host: typed events go in, typed
// actions come out. It knows no encoding and does no input or output, so that
// a packet front end and a trace replay use the same code.
package dataplane

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/request"
	"pimentospread/service"
)

// View is what the control duty tells the deciders about the cell. It is
// never changed after it was handed over.
type View struct {
	// Sequence numbers the views of an incarnation. A decider reports it back when it has loaded the view.
	Sequence    uint64
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Release     *release.Release
	// Services are all services with their pool, policy and table.
	Services map[pimentospread.ServiceID]*ServiceView
	// ServiceByAddress finds the service of an address.
	ServiceByAddress map[netip.AddrPort]pimentospread.ServiceID
	// Active says that new flows go by the current epoch.
	Active bool
	// LiveHosts are the hosts that answer and do not leave, this one included when it is ready.
	LiveHosts []member.Candidate
	// Roster and PreviousRoster are the platform's lists from which electors are chosen.
	Roster, PreviousRoster member.Roster
	// RosterChangedAt is the time at which Roster replaced PreviousRoster.
	RosterChangedAt time.Time
	// PeerRosterVersions is the roster version that each heard peer announces, leaving
	// peers included. Without it an older roster counts for two hours.
	PeerRosterVersions request.AnnouncedVersions
	// Flagged targets are reported down by at least one host.
	Flagged map[pimentospread.TargetID]bool
	// Avoided targets are down and every live peer has acknowledged the flag.
	Avoided map[pimentospread.TargetID]bool
	// Draining targets say of themselves that they want no new work. They are flagged too.
	Draining map[pimentospread.TargetID]bool
	// Ready says that this host takes work.
	Ready bool
	// PeerStateUnknown says that this host does not know what its peers have done: it has
	// just started, was paused, or a peer sends new flows by a release that it has
	// not prepared. Every bucket counts as changed and no claim is granted.
	PeerStateUnknown bool
	// Isolated says that no peer was heard for a while. No claim is granted.
	Isolated bool
	// Leaving says that this host is shutting down.
	Leaving bool
}

// ServiceView is a service with what it refers to.
type ServiceView struct {
	Service service.Service
	Pool    pool.Pool
	Policy  policy.Policy
	Table   *pool.Table
}

// Generation returns the generation of the view's release, or zero without one.
func (v *View) Generation() pimentospread.Generation {
	if v == nil || v.Release == nil {
		return 0
	}
	return v.Release.Generation
}
