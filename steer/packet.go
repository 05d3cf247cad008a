// Package steer selects the target of each packet. Packets of an open flow carry
// the token of their target, so a host can forward them without having seen the
// flow before. Packets come in and actions go out as typed values; encoding and
// I/O are left to the caller.
package steer

import (
	"net/netip"

	"pimentospread"
	"pimentospread/outlier"
)

// Packet holds the fields of a caller's packet that a decision needs.
type Packet struct {
	Key pimentospread.FlowKey
	// Token is the last token that the caller received on the flow.
	Token pimentospread.Token
	// Opens is set if the packet opens a new flow (SYN).
	Opens bool
	// Retransmissions is how often the SYN was sent before.
	Retransmissions uint32
	// Ends is set if the caller closes the flow, and Resets if it resets the flow.
	Ends, Resets bool
	// Sequence and Acknowledgement are the sequence number and the acknowledgement number.
	Sequence, Acknowledgement uint32
	// Length is the number of data bytes.
	Length uint16
	// Delayed is set if packets may have waited at this host. The time between two packets
	// then does not show how long a target takes.
	Delayed bool
}

// ActionKind is what to do with a packet.
type ActionKind uint8

// Kinds of actions.
const (
	// Drop discards the packet. The caller will retransmit it.
	Drop ActionKind = iota
	// Forward sends the packet to the target.
	Forward
	// Reset answers the caller with a reset, because the flow does not exist.
	Reset
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	switch k {
	case Forward:
		return "forward"
	case Reset:
		return "reset"
	default:
		return "drop"
	}
}

// Cause is the reason for an action. It is a label of the counter of actions.
type Cause string

// Causes of actions. Their values are used in metrics and logs.
const (
	// CauseToken: the token names a registered target.
	CauseToken Cause = "token"
	// CauseRetransmission: as CauseToken, for a packet that the caller retransmits.
	CauseRetransmission Cause = "repeated"
	// CauseDeparted: the token names a target that is no longer registered but may still run.
	CauseDeparted Cause = "departed_target"
	// CauseLostTarget: the target is no longer registered and does not answer.
	CauseLostTarget Cause = "lost_target"
	// CauseSilentTarget: the target is registered but leaves an idempotent request unanswered.
	CauseSilentTarget Cause = "silent_target"
	// CauseLeastLoad: the target has the lowest load for a new flow.
	CauseLeastLoad Cause = "rank"
	// CauseSYNRetransmission: a retransmitted SYN goes to the same target as before.
	CauseSYNRetransmission Cause = "copy"
	// CauseTrial: a new flow tries a suspected target.
	CauseTrial Cause = "trial"
	// CauseAllSuspected: a new flow goes to a suspected target because all are suspected.
	CauseAllSuspected Cause = "all_doubted"
	// CauseNoRoute: no route has the address of a new flow.
	CauseNoRoute Cause = "no_route"
	// CauseRouteDropped: the route of an open flow was removed.
	CauseRouteDropped Cause = "route_dropped"
	// CauseRouteUnconfirmed: the route was removed, but the flow may have opened by a later
	// configuration that this host does not have yet.
	CauseRouteUnconfirmed Cause = "route_unconfirmed"
	// CauseNoTarget: the service has no target that takes new flows.
	CauseNoTarget Cause = "no_target"
	// CauseEvacuated: all targets of the service that take new flows are in evacuated failure domains.
	CauseEvacuated Cause = "evacuated"
	// CauseCold: all targets of the service that take new flows are cold, and none has a share left.
	CauseCold Cause = "cold"
	// CauseOverload: the service gets more work than its targets complete in time.
	CauseOverload Cause = "overload"
	// CauseUnknownToken: the token names no known target.
	CauseUnknownToken Cause = "unknown_token"
	// CauseNoConfiguration: the host has not received a configuration and a list of targets yet.
	CauseNoConfiguration Cause = "no_configuration"
)

// Action is what to do with a packet.
type Action struct {
	Kind  ActionKind
	Cause Cause
	// Target and Name are set for Forward, and for the reset of an open flow whose target does
	// not answer.
	Target        pimentospread.Token
	Name          pimentospread.RegistrationName
	FailureDomain pimentospread.FailureDomain
	Instance      pimentospread.InstanceID
	Address       netip.AddrPort
	// Restarted is set if the packet has the token of an earlier process of the target.
	Restarted bool
	// Evidence is what the reset of an open flow is based on whose target does not answer.
	Evidence outlier.Evidence
}

// OpensFlow reports whether the action assigns a new flow to a target. Forwarding a
// retransmitted SYN to the same target does not.
func (a Action) OpensFlow() bool {
	return a.Kind == Forward && (a.Cause == CauseLeastLoad || a.Cause == CauseTrial || a.Cause == CauseAllSuspected)
}
