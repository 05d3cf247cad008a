package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet and its flags, as PROTOCOL.md gives them.
const (
	prefixSize = 8
	headerSize = 34
	maxData    = 1200

	flagSYN = 4
	flagACK = 8
	flagRST = 16
	flagFIN = 128
)

// packet is a packet of a flow. A reset of the system has sum 0.
type packet struct {
	src, dst netip.AddrPort
	echo     uint32
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet as it stands on the wire. Packets of clients and servers get a
// sum over all fields except echo, which is never 0.
func (p packet) encode() []byte {
	b := make([]byte, 0, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	b = binary.BigEndian.AppendUint16(b, p.src.Port())
	b = append(append(b, dst[:]...), src[:]...)
	b = binary.BigEndian.AppendUint16(b, p.dst.Port())
	b = binary.BigEndian.AppendUint32(b, p.echo)
	b = append(b, p.flags, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, p.seq)
	b = binary.BigEndian.AppendUint32(b, p.ack)
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[28:], keyedSum(b))
	return b
}

// keyedSum returns the sum of an encoded packet.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("review"))
	_, _ = h.Write(b[:12])
	_, _ = h.Write(b[16:17])
	_, _ = h.Write(b[20:28])
	_, _ = h.Write(b[32:])
	return h.Sum32() | 1
}

// decode decodes a packet. It reports false for anything else.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[32:])) != len(b)-headerSize {
		return packet{}, false
	}
	at := func(ip, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
	}
	p := packet{
		src: at(b[6:10], b[0:2]), dst: at(b[2:6], b[10:12]),
		echo: binary.BigEndian.Uint32(b[12:]), flags: b[16],
		seq: binary.BigEndian.Uint32(b[20:]), ack: binary.BigEndian.Uint32(b[24:]), sum: binary.BigEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headerSize:]...),
	}
	return p, p.sum == 0 || p.sum == keyedSum(b)
}
