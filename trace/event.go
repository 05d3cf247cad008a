// Package trace records the inputs of the data-plane workers of a host, so that a
// fault on a running host can be reproduced by a replay.
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

// Worker is the index of the data-plane worker that received an event. The flow
// shards are numbered from 0; the request dispatcher follows them.
type Worker int

// Event is an input of a worker, or an attempt that the request dispatcher made.
// Exactly one of the pointers is set.
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
	// Close ends the requests that are still open when the shutdown grace period expires.
	Close *struct{} `json:"Close,omitempty"`
}

// Start holds the parameters with which a host started. A replay constructs the
// workers from them.
type Start struct {
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	FlowShards  int                       `json:"FlowShards"`
	MaxFlows    int                       `json:"MaxFlows"`
	Seed        uint64                    `json:"Seed"`
}

// Attempt maps an attempt to its request. It is not an input of a worker. A
// replay may choose another attempt ID or target than the recording; it uses the
// mapping to assign a recorded answer to the right request.
type Attempt struct {
	ID      pimentospread.AttemptID `json:"ID"`
	Request pimentospread.RequestID `json:"Request"`
}

// Report is a load report with the target and the time, which the JSON form of
// pimentospread.LoadReport omits.
type Report struct {
	pimentospread.LoadReport
	Target pimentospread.TargetID `json:"Target"`
	At     time.Time              `json:"At"`
}

// Peer is a message from another host. Its body is stored as JSON, so that stored
// traces stay readable when the encoding between hosts changes.
type Peer struct {
	From        pimentospread.HostID      `json:"From"`
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	Kind        pimentospread.MessageKind `json:"Kind"`
	Body        json.RawMessage           `json:"Body"`
}

// View is a dataplane.View without the tables that are derived from the release.
type View struct {
	Sequence    uint64                    `json:"Sequence"`
	Incarnation pimentospread.Incarnation `json:"Incarnation"`
	// Release is nil if the previous view of the worker had the same generation.
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

// Roster is the recorded form of a member.Roster.
type Roster struct {
	Version pimentospread.ObjectVersion `json:"Version"`
	Hosts   []member.Host               `json:"Hosts"`
}

func newRoster(r member.Roster) Roster { return Roster{Version: r.Version, Hosts: r.Hosts} }

func (r Roster) toMember() member.Roster { return member.Roster{Version: r.Version, Hosts: r.Hosts} }

// NewView returns the recorded form of a view. previous is the generation of the
// view that was recorded before it.
func NewView(v *dataplane.View, previous pimentospread.Generation) *View {
	recorded := &View{
		Sequence: v.Sequence, Incarnation: v.Incarnation, Generation: v.Generation(), Active: v.Active, LiveHosts: v.LiveHosts,
		Roster: newRoster(v.Roster), PreviousRoster: newRoster(v.PreviousRoster),
		PeerRosterVersions: v.PeerRosterVersions, RosterChangedAt: v.RosterChangedAt,
		Flagged: v.Flagged, Avoided: v.Avoided, Draining: v.Draining,
		Ready: v.Ready, PeerStateUnknown: v.PeerStateUnknown, Isolated: v.Isolated, Leaving: v.Leaving,
	}
	if recorded.Generation != previous {
		recorded.Release = v.Release
	}
	return recorded
}

// ToDataplane returns the view of the host self. services and addresses are the
// tables that were built from the release r.
func (v *View) ToDataplane(self pimentospread.HostID, r *release.Release, services map[pimentospread.ServiceID]*dataplane.ServiceView, addresses map[netip.AddrPort]pimentospread.ServiceID) *dataplane.View {
	return &dataplane.View{
		Sequence: v.Sequence, Self: self, Incarnation: v.Incarnation, Release: r, Services: services, ServiceByAddress: addresses,
		Active: v.Active, LiveHosts: v.LiveHosts, Roster: v.Roster.toMember(), PreviousRoster: v.PreviousRoster.toMember(),
		PeerRosterVersions: v.PeerRosterVersions, RosterChangedAt: v.RosterChangedAt,
		Flagged: v.Flagged, Avoided: v.Avoided, Draining: v.Draining,
		Ready: v.Ready, PeerStateUnknown: v.PeerStateUnknown, Isolated: v.Isolated, Leaving: v.Leaving,
	}
}
