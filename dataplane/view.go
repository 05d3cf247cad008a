// Package dataplane decides where a host sends flows and requests. Callers pass
// in typed events and carry out the typed actions that it returns. It neither
// encodes messages nor does input or output, so that a packet front end and a
// trace replay use the same code.
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

// View is a snapshot of the cell that the control plane passes to the data
// plane. It is immutable once it has been passed on.
type View struct {
	// Sequence numbers the views of an incarnation. A worker reports it back once it uses the view.
	Sequence    uint64
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Release     *release.Release
	// Services holds every service with its pool, policy and table.
	Services map[pimentospread.ServiceID]*ServiceView
	// ServiceByAddress maps the address of a service to its ID.
	ServiceByAddress map[netip.AddrPort]pimentospread.ServiceID
	// Active reports that new flows are placed by the current epoch.
	Active bool
	// LiveHosts are the live hosts that are ready and not leaving, including this one if it is.
	LiveHosts []member.Candidate
	// Roster and PreviousRoster are the platform's host lists from which electors are chosen.
	Roster, PreviousRoster member.Roster
	// RosterChangedAt is the time at which Roster replaced PreviousRoster.
	RosterChangedAt time.Time
	// PeerRosterVersions is the roster version that each reachable peer announces,
	// including leaving peers. Without it, an older roster stays valid for two hours.
	PeerRosterVersions request.AnnouncedVersions
	// Flagged holds the targets that at least one host reports as down.
	Flagged map[pimentospread.TargetID]bool
	// Avoided holds the flagged targets whose flag every peer that is alive has acknowledged.
	Avoided map[pimentospread.TargetID]bool
	// Draining holds the targets that report that they accept no new work. They are flagged too.
	Draining map[pimentospread.TargetID]bool
	// Ready reports that this host accepts work.
	Ready bool
	// PeerStateUnknown reports that this host may have missed actions of its peers:
	// it has just started, was paused, or a peer places new flows by a release
	// that this host has not prepared. It is recorded in traces. Flow shards and
	// electors do not read it: they detect starts and pauses themselves.
	PeerStateUnknown bool
	// Isolated reports that no heartbeat has come from any peer for a while. It is
	// recorded in traces. Electors do not read it: they grant claims by the peers in
	// PeerRosterVersions.
	Isolated bool
	// Leaving reports that this host is shutting down.
	Leaving bool
}

// ServiceView is a service with its pool, its policy and the table of its pool.
type ServiceView struct {
	Service service.Service
	Pool    pool.Pool
	Policy  policy.Policy
	Table   *pool.Table
}

// Generation returns the generation of the view's release, or zero if there is none.
func (v *View) Generation() pimentospread.Generation {
	if v == nil || v.Release == nil {
		return 0
	}
	return v.Release.Generation
}
