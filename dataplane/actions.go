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

// Reset resets the caller's connection of a flow.
type Reset struct {
	Key pimentospread.FlowKey
	// Packet is the packet of the flow to which the reset responds.
	Packet []byte
}

// FlowActions are the actions that a flow shard requests. The shard appends to
// them; the caller carries them out and then calls Clear.
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

// CompletedRequest is a request whose outcome this host has sent to the caller.
type CompletedRequest struct {
	Service pimentospread.ServiceID
	Class   pimentospread.Class
	Caller  pimentospread.CallerID
	// InTime reports that the whole answer was sent before the deadline.
	InTime bool
}

// RequestActions are the actions that a RequestDispatcher requests. The
// dispatcher appends to them; the caller carries them out and then calls Clear.
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
