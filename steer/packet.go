// Package steer decides to which target a packet goes when the packets of a
// flow carry the token of their target. The decisions are pure: typed packets
// in, typed actions out; no flow is remembered.
package steer

import (
	"net/netip"

	"pimentospread"
)

// Packet is what a decision needs to know of a caller's packet.
type Packet struct {
	Key pimentospread.FlowKey
	// Token is the last one that the caller received on the flow.
	Token pimentospread.Token
	// Opens says that the packet asks for a new flow. Copy counts how often it was sent before.
	Opens           bool
	Retransmissions uint32
	// Ends and Resets say that the caller ends the flow.
	Ends, Resets bool
	// Sequence and Ack number the bytes sent, and the bytes received.
	Sequence, Ack uint32
	// Length is the number of data bytes.
	Length uint16
}

// Kind says what is to be done with a packet.
type Kind uint8

// Kinds of actions.
const (
	// Drop sends nothing; the caller sends again.
	Drop Kind = iota
	// Forward sends the packet to the target.
	Forward
	// Reset tells the caller that the flow does not exist.
	Reset
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Forward:
		return "forward"
	case Reset:
		return "reset"
	default:
		return "drop"
	}
}

// Cause says why an action was chosen. It is the label of its counter.
type Cause string

// Causes of actions.
const (
	CauseToken           Cause = "token"
	CauseRepeated        Cause = "repeated"
	CauseDeparted        Cause = "departed_target"
	CauseLostTarget      Cause = "lost_target"
	CauseLeastLoad       Cause = "rank"
	CauseCopy            Cause = "copy"
	CauseTrial           Cause = "trial"
	CauseAllSuspected    Cause = "all_doubted"
	CauseNoRoute         Cause = "no_route"
	CauseRouteDropped    Cause = "route_dropped"
	CauseNoTarget        Cause = "no_target"
	CauseUnknownToken    Cause = "unknown_token"
	CauseNoConfiguration Cause = "no_configuration"
)

// Action is what to do with a packet.
type Action struct {
	Kind  Kind
	Cause Cause
	// Target is set for Forward.
	Target   pimentospread.Token
	Name     pimentospread.RegistrationName
	Domain   pimentospread.FailureDomain
	Instance pimentospread.InstanceID
	Address  netip.AddrPort
}

// OpensFlow reports whether the action gives a new flow to a target. A copy of a SYN
// that follows the first one does not.
func (a Action) OpensFlow() bool {
	return a.Kind == Forward && (a.Cause == CauseLeastLoad || a.Cause == CauseTrial || a.Cause == CauseAllSuspected)
}
