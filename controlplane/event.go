package controlplane

import (
	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
)

// Event is something that happened to the cell as this host sees it.
type Event interface{ event() }

// HeartbeatReceived is a heartbeat of a peer.
type HeartbeatReceived struct {
	From        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Heartbeat   member.Heartbeat
}

// QueryReceived is a peer's question.
type QueryReceived struct {
	From  pimentospread.HostID
	Query ReleaseQuery
}

// ReplyReceived is a peer's answer, with its release already decoded.
type ReplyReceived struct {
	From  pimentospread.HostID
	Reply ReleaseReply
	// Content is nil when the reply has no release.
	Content *PackedRelease
}

// ReleaseRead is the release that the platform returned.
type ReleaseRead struct{ Content *PackedRelease }

// RosterRead is the roster that the platform returned.
type RosterRead struct{ Roster member.Roster }

// PlatformReadDone ends the reading of the platform at the start of a host. What
// was read comes before it.
type PlatformReadDone struct {
	// Answered is false when the platform cannot be reached.
	Answered bool
}

// TablesBuilt is the result of Build.
type TablesBuilt struct {
	Content *PackedRelease
	// Base is the generation whose tables were the previous ones.
	Base     pimentospread.Generation
	Services map[pimentospread.ServiceID]*dataplane.ServiceView
}

// ViewLoaded says that a decider goes by a view.
type ViewLoaded struct {
	Worker   int
	Sequence uint64
	// Prepared is the generation for which the decider has all that it needs; it
	// can come later than the view.
	Prepared pimentospread.Generation
}

// TargetProbed is the result of a probe.
type TargetProbed struct {
	Target pimentospread.TargetID
	Report pimentospread.LoadReport
	// Answered is false when no report was received.
	Answered bool
}

// Tick comes each HeartbeatInterval.
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
