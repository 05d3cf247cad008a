package dataplane

// DropCause is the reason for which a packet or message was dropped, as it is written in metrics.
type DropCause string

// Causes for dropping packets of flows.
const (
	DropNoView         DropCause = "no_view"
	DropUnknownService DropCause = "unknown_service"
	DropForeignTarget  DropCause = "foreign_target"
	DropForeignService DropCause = "foreign_service"
	// DropNoTarget means that the service has no target for the flow.
	DropNoTarget DropCause = "no_target"
	// DropTargetRemoved means that the flow's target was removed from the pool.
	DropTargetRemoved DropCause = "target_gone"
	// DropNewerRelease means that the target belongs to a release that this host does not have yet.
	DropNewerRelease DropCause = "newer_release"
	// DropTargetFull means that the target has reached the shard's part of its connection limit.
	DropTargetFull DropCause = "target_full"
	// DropNotActivated means that the target is draining or removed in a release that is not active yet.
	DropNotActivated DropCause = "not_activated"
	// DropPaused means that the host was paused and may have missed a change of the placement of new flows.
	DropPaused DropCause = "paused"
	// DropNoRecord means that no holder confirmed the record of a new flow in time.
	DropNoRecord DropCause = "no_record"
	// DropNoAnswer means that a holder did not reply in time to a query for the flow's record.
	DropNoAnswer DropCause = "no_answer"
	// DropTooManyHeld means that too many packets are held for replies of other hosts.
	DropTooManyHeld DropCause = "too_many_held"
)
