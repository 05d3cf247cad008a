// Package flow holds the flows that a host knows: the flow table, the records
// that it keeps for other hosts, and the rule that steers a packet.
package flow

import "pimentospread"

// Direction says which way a packet goes.
type Direction uint8

// Directions of a packet.
const (
	// ToTarget packets come from a caller.
	ToTarget Direction = iota
	// ToCaller packets come from a target.
	ToCaller
)

// Packet is what steering needs to know of one packet of a flow.
type Packet struct {
	Key       pimentospread.FlowKey
	ID        pimentospread.FlowID
	Service   pimentospread.ServiceID
	Direction Direction
	// From is the target that sent a ToCaller packet.
	From pimentospread.TargetID
	// SYN is set on the first packet of a flow, without ACK.
	SYN, FIN, RST bool
}
