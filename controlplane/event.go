package controlplane

import (
	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
)

// Event is an input of Cell.Handle.
type Event interface{ event() }

// HeartbeatReceived is a heartbeat from a peer.
type HeartbeatReceived struct {
	From        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Heartbeat   member.Heartbeat
}

// QueryReceived is a query from a peer.
type QueryReceived struct {
	From  pimentospread.HostID
	Query ReleaseQuery
}

// ReplyReceived is a peer's reply to a query, with its release already decoded.
type ReplyReceived struct {
	From  pimentospread.HostID
	Reply ReleaseReply
	// PackedRelease is nil when the reply contains no release.
	PackedRelease *PackedRelease
}

// ReleaseRead is a release that was read from the platform.
type ReleaseRead struct {
	PackedRelease *PackedRelease
	// Version is the version of the platform's object.
	Version pimentospread.ObjectVersion
}

// RosterRead is a roster that was read from the platform.
type RosterRead struct{ Roster member.Roster }

// PlatformReadDone ends the platform read of a starting host. The events with the
// objects that were read precede it.
type PlatformReadDone struct {
	// Answered is false when an object could not be read.
	Answered bool
}

// TablesBuilt is the result of TableBuild.Run.
type TablesBuilt struct {
	PackedRelease *PackedRelease
	// Base is the generation whose tables the build used as the previous ones.
	Base     pimentospread.Generation
	Services map[pimentospread.ServiceID]*dataplane.ServiceView
}

// ViewLoaded reports that a data-plane worker uses a view.
type ViewLoaded struct {
	Worker   int
	Sequence uint64
	// Prepared is the newest generation that the worker has prepared completely. It can
	// lag behind the view.
	Prepared pimentospread.Generation
}

// TargetProbed is the result of a probe.
type TargetProbed struct {
	Target pimentospread.TargetID
	Report pimentospread.LoadReport
	// Answered is false when the target sent no report.
	Answered bool
}

// Tick occurs once every member.HeartbeatInterval.
type Tick struct{}

// Leave starts the shutdown.
type Leave struct{}

func (HeartbeatReceived) event() {}
func (QueryReceived) event()     {}
func (ReplyReceived) event()     {}
func (ReleaseRead) event()       {}
func (RosterRead) event()        {}
func (PlatformReadDone) event()  {}
func (TablesBuilt) event()       {}
func (ViewLoaded) event()        {}
func (TargetProbed) event()      {}
func (Tick) event()              {}
func (Leave) event()             {}
