// Package packet encodes and decodes the VXLAN datagrams of the data path. Each
// carries an Ethernet frame with an IP packet. The package only converts between
// bytes and values; load-balancing decisions are made elsewhere.
package packet

import (
	"net/netip"

	"pimentospread"
	"pimentospread/flow"
)

// Protocol is the transport protocol of an inner IP packet.
type Protocol uint8

// Transport protocols that hosts accept.
const (
	// TCP is the protocol of flows.
	TCP Protocol = iota + 1
	// UDP is the protocol of requests and their replies.
	UDP
)

// Header has the fields of the VXLAN and Ethernet headers that encapsulate an
// inner IP packet.
type Header struct {
	// Service is the VXLAN network identifier. It is zero between callers and hosts.
	Service pimentospread.ServiceID
	// Source is the target that sent the frame, or zero for any other sender.
	Source pimentospread.TargetID
	// Destination is the target to which the frame is sent, or zero for any other receiver.
	Destination pimentospread.TargetID
}

// Flags are the control bits of a TCP segment that the decoder reads.
type Flags struct {
	SYN, ACK, FIN, RST bool
}

// Datagram is a decoded VXLAN datagram. Its slices share memory with the bytes
// that were decoded.
type Datagram struct {
	Header
	// Packet is the inner IP packet without the padding of the Ethernet frame.
	Packet   []byte
	Protocol Protocol
	// From and To are the source and the destination of the inner packet.
	From, To netip.AddrPort
	// Flags, Sequence and Acknowledgement are set only for TCP.
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	// Payload is the content of the TCP segment or UDP datagram.
	Payload []byte
}

// Direction returns the direction of the packet. Only a frame that a target sent
// has a Source.
func (d Datagram) Direction() flow.Direction {
	if d.Source != 0 {
		return flow.ToCaller
	}
	return flow.ToTarget
}

// FlowPacket returns the fields of a TCP packet on which its forwarding depends.
// Its Service is that of the frame. A packet from a caller has Service zero there;
// the receiver looks the service up by the destination address.
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
