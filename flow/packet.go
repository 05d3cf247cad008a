// Package flow defines the flow table, the records that assign flows to targets
// and the messages by which hosts exchange them.
package flow

import "pimentospread"

// Direction is the direction of a packet in its flow.
type Direction uint8

// Directions of a packet.
const (
	// ToTarget is the direction of packets from a caller.
	ToTarget Direction = iota
	// ToCaller is the direction of packets from a target.
	ToCaller
)

// Packet describes one packet of a flow: the fields on which its forwarding depends.
type Packet struct {
	Key       pimentospread.FlowKey
	ID        pimentospread.FlowID
	Service   pimentospread.ServiceID
	Direction Direction
	// From is the target that sent the packet; zero for ToTarget packets.
	From pimentospread.TargetID
	// SYN is true for a segment with SYN and without ACK, which opens a flow.
	SYN, FIN, RST bool
}
