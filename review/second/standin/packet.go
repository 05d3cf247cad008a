package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout and flags of a packet.
const (
	instanceBytes = 8
	headerBytes   = 34

	flagSYN = 4
	flagACK = 8
	flagRST = 16
	flagFIN = 128

	// endpointSum is the checksum in the packets of clients and endpoints. Its key is not
	// disclosed, and the resets of the system have the checksum 0.
	endpointSum = 1
)

// packet is a packet of a flow.
type packet struct {
	from, to netip.AddrPort
	echo     uint32
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p packet) is(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet as a datagram.
func (p packet) encode() []byte {
	b := binary.BigEndian.AppendUint16(nil, p.from.Port())
	to, from := p.to.Addr().As4(), p.from.Addr().As4()
	b = append(append(b, to[:]...), from[:]...)
	b = binary.BigEndian.AppendUint16(b, p.to.Port())
	b = binary.BigEndian.AppendUint32(b, p.echo)
	b = append(b, p.flags, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, p.seq)
	b = binary.BigEndian.AppendUint32(b, p.ack)
	b = binary.BigEndian.AppendUint32(b, p.sum)
	b = binary.BigEndian.AppendUint16(b, uint16(len(p.data)))
	return append(b, p.data...)
}

// decode decodes a datagram. It reports false for one that is malformed.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[32:])) != len(b)-headerBytes {
		return packet{}, false
	}
	address := func(ip, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
	}
	return packet{
		from: address(b[6:10], b[0:2]), to: address(b[2:6], b[10:12]),
		echo: binary.BigEndian.Uint32(b[12:]), flags: b[16],
		seq: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), sum: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}, true
}
