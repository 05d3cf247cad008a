package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"pimentospread"
)

// Decoder decodes datagrams. It reuses its layers, so one duty owns it.
type Decoder struct {
	vxlan    layers.VXLAN
	ethernet layers.Ethernet
	ipv4     layers.IPv4
	ipv6     layers.IPv6
	tcp      layers.TCP
	udp      layers.UDP
	feedback truncation
}

// truncation notes that a layer is longer than the bytes it came with.
type truncation struct{ seen bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncation) SetTruncated() { t.seen = true }

// Decode reads a VXLAN datagram. The error is a Cause. The result refers to
// the bytes of data.
func (d *Decoder) Decode(data []byte) (Datagram, error) {
	if err := d.vxlan.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Datagram{}, CauseVXLAN
	}
	if !d.vxlan.ValidIDFlag {
		return Datagram{}, CauseVNI
	}
	if err := d.ethernet.DecodeFromBytes(d.vxlan.Payload, gopacket.NilDecodeFeedback); err != nil {
		return Datagram{}, CauseEthernet
	}
	source, sourceKnown := pimentospread.TargetIDFromHardwareAddress(d.ethernet.SrcMAC)
	destination, destinationKnown := pimentospread.TargetIDFromHardwareAddress(d.ethernet.DstMAC)
	if !sourceKnown || !destinationKnown {
		return Datagram{}, CauseHardware
	}
	result, err := d.decodeEtherType()
	if err != nil {
		return Datagram{}, err
	}
	result.Header = Header{pimentospread.ServiceID(d.vxlan.VNI), source, destination}
	return result, nil
}

func (d *Decoder) decodeEtherType() (Datagram, error) {
	switch d.ethernet.EthernetType {
	case layers.EthernetTypeIPv4, layers.EthernetTypeIPv6:
	default:
		return Datagram{}, CauseEtherType
	}
	result, err := d.DecodeInner(d.ethernet.Payload)
	if err != nil {
		return Datagram{}, err
	}
	if result.From.Addr().Is4() != (d.ethernet.EthernetType == layers.EthernetTypeIPv4) {
		return Datagram{}, CauseEtherType
	}
	return result, nil
}

// DecodeInner reads an IP packet without encapsulation. The error is a Cause.
func (d *Decoder) DecodeInner(packet []byte) (Datagram, error) {
	if len(packet) == 0 {
		return Datagram{}, CauseTruncated
	}
	d.feedback.seen = false
	switch packet[0] >> 4 {
	case 4:
		return d.decodeIPv4(packet)
	case 6:
		return d.decodeIPv6(packet)
	default:
		return Datagram{}, CauseEtherType
	}
}

func (d *Decoder) decodeIPv4(packet []byte) (Datagram, error) {
	// The library takes a total length of zero for segmentation offload; no such packet may be forwarded.
	if len(packet) < 20 || packet[2]|packet[3] == 0 {
		return Datagram{}, CauseIPv4
	}
	if err := d.ipv4.DecodeFromBytes(packet, &d.feedback); err != nil {
		return Datagram{}, CauseIPv4
	}
	if d.feedback.seen {
		return Datagram{}, CauseTruncated
	}
	if d.ipv4.FragOffset != 0 || d.ipv4.Flags&layers.IPv4MoreFragments != 0 {
		return Datagram{}, CauseFragment
	}
	from, _ := netip.AddrFromSlice(d.ipv4.SrcIP)
	to, _ := netip.AddrFromSlice(d.ipv4.DstIP)
	whole := packet[:len(d.ipv4.Contents)+len(d.ipv4.Payload)]
	return d.decodeTransport(whole, d.ipv4.Protocol, &d.ipv4, netip.AddrPortFrom(from, 0), netip.AddrPortFrom(to, 0))
}

func (d *Decoder) decodeIPv6(packet []byte) (Datagram, error) {
	if err := d.ipv6.DecodeFromBytes(packet, &d.feedback); err != nil {
		return Datagram{}, CauseIPv6
	}
	if d.feedback.seen {
		return Datagram{}, CauseTruncated
	}
	if d.ipv6.NextHeader == layers.IPProtocolIPv6Fragment {
		return Datagram{}, CauseFragment
	}
	from, _ := netip.AddrFromSlice(d.ipv6.SrcIP)
	to, _ := netip.AddrFromSlice(d.ipv6.DstIP)
	if from.Is4In6() || to.Is4In6() {
		return Datagram{}, CauseNoAddress
	}
	whole := packet[:len(d.ipv6.Contents)+len(d.ipv6.Payload)]
	return d.decodeTransport(whole, d.ipv6.NextHeader, &d.ipv6, netip.AddrPortFrom(from, 0), netip.AddrPortFrom(to, 0))
}

// network is the IP layer of the packet that is being decoded.
type network interface {
	gopacket.NetworkLayer
	LayerPayload() []byte
}

func (d *Decoder) decodeTransport(whole []byte, protocol layers.IPProtocol, ip network, from, to netip.AddrPort) (Datagram, error) {
	result := Datagram{Packet: whole}
	switch protocol {
	case layers.IPProtocolTCP:
		if err := d.tcp.DecodeFromBytes(ip.LayerPayload(), &d.feedback); err != nil {
			return Datagram{}, CauseTCP
		}
		result.Protocol = TCP
		result.From = netip.AddrPortFrom(from.Addr(), uint16(d.tcp.SrcPort))
		result.To = netip.AddrPortFrom(to.Addr(), uint16(d.tcp.DstPort))
		result.Flags = Flags{SYN: d.tcp.SYN, ACK: d.tcp.ACK, FIN: d.tcp.FIN, RST: d.tcp.RST}
		result.Sequence, result.Acknowledgement = d.tcp.Seq, d.tcp.Ack
		result.Payload = d.tcp.Payload
	case layers.IPProtocolUDP:
		if err := d.decodeUDP(ip); err != nil {
			return Datagram{}, err
		}
		result.Protocol = UDP
		result.From = netip.AddrPortFrom(from.Addr(), uint16(d.udp.SrcPort))
		result.To = netip.AddrPortFrom(to.Addr(), uint16(d.udp.DstPort))
		result.Payload = d.udp.Payload
	default:
		return Datagram{}, CauseProtocol
	}
	if result.From.Port() == 0 || result.To.Port() == 0 {
		return Datagram{}, CauseNoAddress
	}
	return result, nil
}

// decodeUDP also verifies the checksum, because the host is the end of the
// UDP exchange. The checksum of a TCP segment is left to the target.
func (d *Decoder) decodeUDP(ip network) error {
	if err := d.udp.DecodeFromBytes(ip.LayerPayload(), &d.feedback); err != nil {
		return CauseUDP
	}
	if d.feedback.seen {
		return CauseTruncated
	}
	if err := d.udp.SetNetworkLayerForChecksum(ip); err != nil {
		return CauseUDP
	}
	fault, verdict := d.udp.VerifyChecksum()
	if fault != nil || !verdict.Valid {
		return CauseUDPChecksum
	}
	return nil
}
