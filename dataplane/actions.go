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

// Delivery sends an inner IP packet to a caller through the fabric.
type Delivery struct {
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
	Forwards     []Forward
	Deliveries   []Delivery
	Resets       []Reset
	PeerMessages []pimentospread.Outbound
	Drops        []DropCause
}

// Clear empties the actions and keeps their memory.
func (a *FlowActions) Clear() {
	a.Forwards = a.Forwards[:0]
	a.Deliveries = a.Deliveries[:0]
	a.Resets = a.Resets[:0]
	a.PeerMessages = a.PeerMessages[:0]
	a.Drops = a.Drops[:0]
}

// CompletedRequest is a request of which this host has told the caller the outcome.
type CompletedRequest struct {
	Service pimentospread.ServiceID
	Class   pimentospread.Class
	Caller  pimentospread.CallerID
	// InTime says that the whole answer went out before the deadline.
	InTime bool
}

// RequestActions is what the requests decider wants done.
type RequestActions struct {
	Completed     []CompletedRequest
	Attempts      []request.Attempt
	Cancellations []request.Cancel
	Replies       []request.Reply
	PeerMessages  []pimentospread.Outbound
	Drops         []DropCause
}

// Clear empties the actions and keeps their memory.
func (a *RequestActions) Clear() {
	a.Completed = a.Completed[:0]
	a.Attempts = a.Attempts[:0]
	a.Cancellations = a.Cancellations[:0]
	a.Replies = a.Replies[:0]
	a.PeerMessages = a.PeerMessages[:0]
	a.Drops = a.Drops[:0]
}
