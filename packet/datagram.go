// Package packet is the codec of the front end's data path: VXLAN datagrams
// that carry an Ethernet frame with an IP packet inside. It takes no decisions.
package packet

import (
	"net/netip"

	"pimentospread"
	"pimentospread/flow"
)

// Protocol is the transport protocol of an inner IP packet.
type Protocol uint8

// Transport protocols that the front end carries.
const (
	// TCP packets belong to flows.
	TCP Protocol = iota + 1
	// UDP packets carry requests and their replies.
	UDP
)

// Header is what encapsulation adds to an inner IP packet.
type Header struct {
	// Service is the VXLAN network identifier; zero between callers and hosts.
	Service pimentospread.ServiceID
	// Source is the target that sent the frame, or zero.
	Source pimentospread.TargetID
	// Destination is the target that is to take the frame, or zero.
	Destination pimentospread.TargetID
}

// Flags are the control bits of a TCP segment that the front end reads.
type Flags struct {
	SYN, ACK, FIN, RST bool
}

// Datagram is a decoded VXLAN datagram. Its slices refer to the decoded bytes.
type Datagram struct {
	Header
	// Packet is the inner IP packet without the padding of the frame.
	Packet   []byte
	Protocol Protocol
	// From and To are the inner source and destination.
	From, To netip.AddrPort
	// Flags, Sequence and Acknowledgement are set for TCP.
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	// Payload is the content of the TCP segment or UDP datagram.
	Payload []byte
}

// Direction tells packets of targets from packets of callers. Only the frame
// of a target has a source with a TargetID.
func (d Datagram) Direction() flow.Direction {
	if d.Source != 0 {
		return flow.ToCaller
	}
	return flow.ToTarget
}

// FlowPacket returns what steering needs to know of a TCP packet. The service
// is the one that the frame names; for a packet of a caller it is zero, and
// the address decides.
func (d Datagram) FlowPacket() flow.Packet {
	p := flow.Packet{
		Key:       pimentospread.FlowKey{Caller: d.From, Service: d.To},
		Service:   d.Service,
		Direction: d.Direction(),
		From:      d.Source,
		SYN:       d.Flags.SYN && !d.Flags.ACK,
		FIN:       d.Flags.FIN,
		RST:       d.Flags.RST,
	}
	if p.Direction == flow.ToCaller {
		p.Key = pimentospread.FlowKey{Caller: d.To, Service: d.From}
	}
	p.ID = p.Key.ID()
	return p
}
