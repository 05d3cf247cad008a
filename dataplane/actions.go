package dataplane

import (
	"net/netip"

	"pimentospread"
	"pimentospread/request"
)

// Forward sends an inner IP packet to a target.
type Forward struct {
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	Address netip.AddrPort
	Packet  []byte
}

// Deliver sends an inner IP packet to a caller through the fabric.
type Deliver struct {
	Packet []byte
}

// Reset tells the caller of a flow that its connection is gone.
type Reset struct {
	Key pimentospread.FlowKey
	// Packet is a packet of the flow to which the reset answers.
	Packet []byte
}

// FlowActions is what a flow shard wants done. The shard appends; the duty empties it with Clear.
type FlowActions struct {
	Forwards []Forward
	Delivers []Deliver
	Resets   []Reset
	Peers    []pimentospread.Outbound
	Drops    []DropCause
}

// Clear empties the actions and keeps their memory.
func (a *FlowActions) Clear() {
	a.Forwards = a.Forwards[:0]
	a.Delivers = a.Delivers[:0]
	a.Resets = a.Resets[:0]
	a.Peers = a.Peers[:0]
	a.Drops = a.Drops[:0]
}

// Ended is a request of which this host has told the caller the outcome.
type Ended struct {
	Service pimentospread.ServiceID
	Class   pimentospread.Class
	Caller  pimentospread.CallerID
	// InTime says that the whole answer went out before the deadline.
	InTime bool
}

// RequestActions is what the requests decider wants done.
type RequestActions struct {
	Ended    []Ended
	Attempts []request.Attempt
	Cancels  []request.Cancel
	Replies  []request.Reply
	Peers    []pimentospread.Outbound
	Drops    []DropCause
}

// Clear empties the actions and keeps their memory.
func (a *RequestActions) Clear() {
	a.Ended = a.Ended[:0]
	a.Attempts = a.Attempts[:0]
	a.Cancels = a.Cancels[:0]
	a.Replies = a.Replies[:0]
	a.Peers = a.Peers[:0]
	a.Drops = a.Drops[:0]
}
