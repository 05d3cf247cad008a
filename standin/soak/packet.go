// Package soak runs the real programs as processes on loopback, injects faults
// from outside in an order that a seed determines, and checks the invariants of
// the load balancer against the observations of callers and targets.
package soak

import (
	"encoding/binary"
	"net/netip"
)

// Packet layout and flags of the users' platform.
const (
	// instanceSize is the size of the instance number in front of a packet to a target.
	instanceSize = 8
	headerSize   = 34

	synFlag = 4
	ackFlag = 8
	rstFlag = 16
	finFlag = 128

	// endpointChecksum is the checksum in the packets of callers and targets. It is
	// not computed; the load balancer's own packets have a checksum of zero.
	endpointChecksum = 1
)

// packet is a packet of a flow.
type packet struct {
	source, destination netip.AddrPort
	// echo is an opaque value that a caller returns unchanged in its next packets.
	echo     uint32
	flags    byte
	seq, ack uint32
	checksum uint32
	data     []byte
}

func (p packet) is(flag byte) bool { return p.flags&flag != 0 }

// encode appends the packet to b.
func (p packet) encode(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, p.source.Port())
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	b = append(append(b, destination[:]...), source[:]...)
	b = binary.BigEndian.AppendUint16(b, p.destination.Port())
	b = binary.BigEndian.AppendUint32(b, p.echo)
	b = append(b, p.flags, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, p.seq)
	b = binary.BigEndian.AppendUint32(b, p.ack)
	b = binary.BigEndian.AppendUint32(b, p.checksum)
	b = binary.BigEndian.AppendUint16(b, uint16(len(p.data)))
	return append(b, p.data...)
}

// decode decodes a packet. It returns false for malformed data.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[32:])) != len(b)-headerSize {
		return packet{}, false
	}
	address := func(ip []byte, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
	}
	return packet{
		source: address(b[6:10], b[0:2]), destination: address(b[2:6], b[10:12]),
		echo: binary.BigEndian.Uint32(b[12:]), flags: b[16],
		seq: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), checksum: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}
