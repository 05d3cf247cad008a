package packet

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"pimentospread"
)

// timeToLive is the initial TTL or hop limit of packets that an Encoder builds. RFC 1700 recommends 64.
const timeToLive = 64

// maxPayload is the largest transport payload. It leaves 40 bytes for the IP and
// transport headers in the 16-bit total length of an IPv4 packet.
const maxPayload = 1<<16 - 1 - 40

// Encoder builds datagrams and inner packets. It reuses its buffers and is not safe
// for concurrent use. The result of Encapsulate is valid until its next call; the
// result of UDP, TCP or Reset is valid until the next call of any of these three.
type Encoder struct {
	outer, inner gopacket.SerializeBuffer
	vxlan        layers.VXLAN
	ethernet     layers.Ethernet
	source       [6]byte
	destination  [6]byte
	decoder      Decoder
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	return &Encoder{outer: gopacket.NewSerializeBuffer(), inner: gopacket.NewSerializeBuffer()}
}

// Encapsulate returns the VXLAN datagram that carries an inner IP packet.
func (e *Encoder) Encapsulate(header Header, packet []byte) ([]byte, error) {
	if len(packet) == 0 {
		return nil, encodeError(nil, "inner packet is empty")
	}
	if header.Service > pimentospread.MaxServiceID {
		return nil, encodeError(nil, "service id %d does not fit in 24 bits", header.Service)
	}
	if err := e.outer.Clear(); err != nil {
		return nil, encodeError(err, "cannot clear the output buffer")
	}
	content, err := e.outer.AppendBytes(len(packet))
	if err != nil {
		return nil, encodeError(err, "cannot grow the output buffer to %d bytes", len(packet))
	}
	copy(content, packet)
	e.source, e.destination = header.Source.HardwareAddress(), header.Destination.HardwareAddress()
	e.ethernet.SrcMAC, e.ethernet.DstMAC = e.source[:], e.destination[:]
	e.ethernet.EthernetType = layers.EthernetTypeIPv4
	if packet[0]>>4 == 6 {
		e.ethernet.EthernetType = layers.EthernetTypeIPv6
	}
	if err := e.ethernet.SerializeTo(e.outer, gopacket.SerializeOptions{}); err != nil {
		return nil, encodeError(err, "cannot write the Ethernet header")
	}
	e.vxlan.ValidIDFlag, e.vxlan.VNI = true, uint32(header.Service)
	if err := e.vxlan.SerializeTo(e.outer, gopacket.SerializeOptions{}); err != nil {
		return nil, encodeError(err, "cannot write the VXLAN header")
	}
	return e.outer.Bytes(), nil
}

// UDP builds an IP packet with a UDP datagram.
func (e *Encoder) UDP(from, to netip.AddrPort, payload []byte) ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: layers.UDPPort(to.Port())}
	ip, err := newIPHeader(from.Addr(), to.Addr(), layers.IPProtocolUDP)
	if err != nil {
		return nil, err
	}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, encodeError(err, "cannot use the IP layer for the UDP checksum")
	}
	return e.build(ip, udp, payload)
}

// Segment describes a TCP segment to build.
type Segment struct {
	From, To        netip.AddrPort
	Sequence        uint32
	Acknowledgement uint32
	Flags           Flags
	Window          uint16
	Payload         []byte
}

// TCP builds an IP packet with a TCP segment.
func (e *Encoder) TCP(s Segment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.From.Port()), DstPort: layers.TCPPort(s.To.Port()),
		Seq: s.Sequence, Ack: s.Acknowledgement, Window: s.Window,
		SYN: s.Flags.SYN, ACK: s.Flags.ACK, FIN: s.Flags.FIN, RST: s.Flags.RST,
	}
	ip, err := newIPHeader(s.From.Addr(), s.To.Addr(), layers.IPProtocolTCP)
	if err != nil {
		return nil, err
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, encodeError(err, "cannot use the IP layer for the TCP checksum")
	}
	return e.build(ip, tcp, s.Payload)
}

// Reset builds the TCP reset in response to an inner packet, with the sequence
// numbers of RFC 9293, section 3.10.7.1. It returns CauseNotResettable for a packet
// that is itself a reset or not TCP.
func (e *Encoder) Reset(packet []byte) ([]byte, error) {
	d, err := e.decoder.DecodeInner(packet)
	if err != nil {
		return nil, err
	}
	if d.Protocol != TCP || d.Flags.RST {
		return nil, CauseNotResettable
	}
	s := Segment{From: d.To, To: d.From, Flags: Flags{RST: true}}
	if d.Flags.ACK {
		s.Sequence = d.Acknowledgement
		return e.TCP(s)
	}
	s.Flags.ACK = true
	s.Acknowledgement = d.Sequence + d.SequenceLength()
	return e.TCP(s)
}

// SequenceLength returns the number of sequence numbers that the TCP segment
// occupies; SYN and FIN count as one each.
func (d Datagram) SequenceLength() uint32 {
	length := uint32(len(d.Payload))
	if d.Flags.SYN {
		length++
	}
	if d.Flags.FIN {
		length++
	}
	return length
}

// ipHeader is an IP layer that can be serialized and is part of the transport checksum.
type ipHeader interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

func newIPHeader(from, to netip.Addr, protocol layers.IPProtocol) (ipHeader, error) {
	switch {
	case from.Is4() && to.Is4():
		return &layers.IPv4{
			Version: 4, IHL: 5, TTL: timeToLive, Protocol: protocol, Flags: layers.IPv4DontFragment,
			SrcIP: net.IP(from.AsSlice()), DstIP: net.IP(to.AsSlice()),
		}, nil
	case from.Is6() && to.Is6():
		return &layers.IPv6{
			Version: 6, HopLimit: timeToLive, NextHeader: protocol,
			SrcIP: net.IP(from.AsSlice()), DstIP: net.IP(to.AsSlice()),
		}, nil
	default:
		return nil, encodeError(nil, "addresses %q and %q have different IP versions", from, to)
	}
}

func (e *Encoder) build(ip ipHeader, transport gopacket.SerializableLayer, payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, encodeError(nil, "payload has %d bytes, maximum is %d", len(payload), maxPayload)
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(e.inner, options, ip, transport, gopacket.Payload(payload)); err != nil {
		return nil, encodeError(err, "cannot write an inner packet with %d bytes of payload", len(payload))
	}
	return e.inner.Bytes(), nil
}

func encodeError(cause error, format string, args ...any) error {
	if cause == nil {
		return pimentospread.At(pimentospread.ErrInvalid.New(format, args...), "encode", "")
	}
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(cause, format, args...), "encode", "")
}
