package dataplane

// DropCause says why a packet was dropped.
type DropCause string

// Causes of dropped packets of flows.
const (
	DropNoView         DropCause = "no_view"
	DropUnknownService DropCause = "unknown_service"
	DropForeignTarget  DropCause = "foreign_target"
	DropForeignService DropCause = "foreign_service"
	// DropNoTarget means that no target takes new flows or holds unknown ones.
	DropNoTarget DropCause = "no_target"
	// DropTargetGone means that the flow's target was removed from the pool.
	DropTargetGone DropCause = "target_gone"
	// DropNewerRelease means that only a release which this host does not have yet knows the target.
	DropNewerRelease DropCause = "newer_release"
	// DropTargetFull means that the target has as many flows as it holds.
	DropTargetFull DropCause = "target_full"
	// DropNotActivated means that the target drains and not every live peer knows of it yet.
	DropNotActivated DropCause = "not_activated"
	// DropPaused means that the host was paused and may have missed a change of where new flows go.
	DropPaused DropCause = "paused"
	// DropNoRecord means that no holder kept the record of a new flow in time.
	DropNoRecord DropCause = "no_record"
	// DropNoAnswer means that a holder did not say in time whether it knows the flow.
	DropNoAnswer DropCause = "no_answer"
	// DropTooManyHeld means that too many packets wait for other hosts.
	DropTooManyHeld DropCause = "too_many_held"
)
