// Package trace records what the deciders of a host are given, so that a fault
// seen on a running host can be replayed.
package trace

import (
	"encoding/json"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/member"
	"pimentospread/release"
	"pimentospread/request"
)

// Worker numbers the decider of a host that took an event: the flow shards
// from 0, then the requests decider.
type Worker int

// Event is one input of a decider, or an attempt that it made. Exactly one of the pointers is set.
type Event struct {
	At     time.Time            `json:"At"`
	Host   pimentospread.HostID `json:"Host"`
	Worker Worker               `json:"Decider"`

	Start   *Start           `json:"Start,omitempty"`
	View    *View            `json:"View,omitempty"`
	Packet  *flow.Packet     `json:"Packet,omitempty"`
	Request *request.Request `json:"Request,omitempty"`
	Attempt *Attempt         `json:"Attempt,omitempty"`
	Answer  *request.Answer  `json:"Answer,omitempty"`
	Report  *Report          `json:"Report,omitempty"`
	Peer    *Peer            `json:"Peer,omitempty"`
	Tick    *struct{}        `json:"Tick,omitempty"`
	// Close ends what the requests decider has left when the grace of a shutdown is over.
	Close *struct{} `json:"Close,omitempty"`
}

// Start is the start of a host.
type Start struct {
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	FlowShards  int                       `json:"FlowShards"`
	MaxFlows    int                       `json:"MaxFlows"`
	Seed        uint64                    `json:"Seed"`
}

// Attempt says which request an attempt belongs to. It is no input of a
// decider; a replay needs it to give a recorded answer to the right request
// when it chooses another attempt identifier or target.
type Attempt struct {
	ID      pimentospread.AttemptID `json:"ID"`
	Request pimentospread.RequestID `json:"Request"`
}

// Report is the load report of a target.
type Report struct {
	pimentospread.LoadReport
	Target pimentospread.TargetID `json:"Target"`
	At     time.Time              `json:"At"`
}

// Peer is a message of another host. It is kept as JSON, so that a stored trace
// outlives a change of the encoding between hosts.
type Peer struct {
	From        pimentospread.HostID      `json:"From"`
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	Kind        pimentospread.MessageKind `json:"Kind"`
	Body        json.RawMessage           `json:"Body"`
}

// View is a dataplane.View without what follows from the release.
type View struct {
	Sequence    uint64                    `json:"Sequence"`
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	// Release is left out when the host's last view had the same generation.
	Release            *release.Release                `json:"Release,omitempty"`
	Generation         pimentospread.Generation        `json:"Generation"`
	Active             bool                            `json:"Active"`
	LiveHosts          []member.Candidate              `json:"Live"`
	Roster             Roster                          `json:"Roster"`
	PreviousRoster     Roster                          `json:"PreviousRoster"`
	PeerRosterVersions request.AnnouncedVersions       `json:"RosterHeld,omitempty"`
	RosterChangedAt    time.Time                       `json:"RosterChangedAt"`
	Flagged            map[pimentospread.TargetID]bool `json:"Flagged,omitempty"`
	Avoided            map[pimentospread.TargetID]bool `json:"Avoided,omitempty"`
	Draining           map[pimentospread.TargetID]bool `json:"Draining,omitempty"`
	Ready              bool                            `json:"Ready"`
	PeerStateUnknown   bool                            `json:"Unsettled"`
	Isolated           bool                            `json:"CutOff"`
	Leaving            bool                            `json:"Leaving"`
}

// Roster is a member.Roster with its version.
type Roster struct {
	Version pimentospread.ObjectVersion `json:"Version"`
	Hosts   []member.Host               `json:"Hosts"`
}

func rosterOf(r member.Roster) Roster { return Roster{Version: r.Version, Hosts: r.Hosts} }

func (r Roster) roster() member.Roster { return member.Roster{Version: r.Version, Hosts: r.Hosts} }

// NewView returns the event body of a view. last is the generation of the host's view before.
func NewView(v *dataplane.View, last pimentospread.Generation) *View {
	t := &View{
		Sequence: v.Sequence, Incarnation: v.Incarnation, Generation: v.Generation(), Active: v.Active, LiveHosts: v.LiveHosts,
		Roster: rosterOf(v.Roster), PreviousRoster: rosterOf(v.PreviousRoster),
		PeerRosterVersions: v.PeerRosterVersions, RosterChangedAt: v.RosterChangedAt,
		Flagged: v.Flagged, Avoided: v.Avoided, Draining: v.Draining,
		Ready: v.Ready, PeerStateUnknown: v.PeerStateUnknown, Isolated: v.Isolated, Leaving: v.Leaving,
	}
	if t.Generation != last {
		t.Release = v.Release
	}
	return t
}

// ToDataplane returns the view with the services and addresses of its release.
func (t *View) ToDataplane(self pimentospread.HostID, r *release.Release, services map[pimentospread.ServiceID]*dataplane.ServiceView, addresses map[netip.AddrPort]pimentospread.ServiceID) *dataplane.View {
	return &dataplane.View{
		Sequence: t.Sequence, Self: self, Incarnation: t.Incarnation, Release: r, Services: services, ServiceByAddress: addresses,
		Active: t.Active, LiveHosts: t.LiveHosts, Roster: t.Roster.roster(), PreviousRoster: t.PreviousRoster.roster(),
		PeerRosterVersions: t.PeerRosterVersions, RosterChangedAt: t.RosterChangedAt,
		Flagged: t.Flagged, Avoided: t.Avoided, Draining: t.Draining,
		Ready: t.Ready, PeerStateUnknown: t.PeerStateUnknown, Isolated: t.Isolated, Leaving: t.Leaving,
	}
}
