package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"pimentospread"
)

// Decoder decodes datagrams. It reuses its layers and is not safe for concurrent use.
type Decoder struct {
	vxlan    layers.VXLAN
	ethernet layers.Ethernet
	ipv4     layers.IPv4
	ipv6     layers.IPv6
	tcp      layers.TCP
	udp      layers.UDP
	feedback truncationFeedback
}

// truncationFeedback records whether the length field of a layer exceeds the bytes
// that are present.
type truncationFeedback struct{ truncated bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncationFeedback) SetTruncated() { t.truncated = true }

// Decode decodes a VXLAN datagram. Every error is a Cause. The result shares the
// memory of data.
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
	source, sourceValid := pimentospread.TargetIDFromHardwareAddress(d.ethernet.SrcMAC)
	destination, destinationValid := pimentospread.TargetIDFromHardwareAddress(d.ethernet.DstMAC)
	if !sourceValid || !destinationValid {
		return Datagram{}, CauseHardware
	}
	result, err := d.decodeFrame()
	if err != nil {
		return Datagram{}, err
	}
	result.Header = Header{pimentospread.ServiceID(d.vxlan.VNI), source, destination}
	return result, nil
}

// decodeFrame decodes the IP packet in the Ethernet frame and checks that its
// version agrees with the EtherType.
func (d *Decoder) decodeFrame() (Datagram, error) {
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

// DecodeInner decodes an IP packet without encapsulation. Every error is a Cause.
func (d *Decoder) DecodeInner(packet []byte) (Datagram, error) {
	if len(packet) == 0 {
		return Datagram{}, CauseTruncated
	}
	d.feedback.truncated = false
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
	// The gopacket library accepts a total length of zero, as packets with
	// segmentation offload have it. Such a packet cannot be forwarded.
	if len(packet) < 20 || packet[2]|packet[3] == 0 {
		return Datagram{}, CauseIPv4
	}
	if err := d.ipv4.DecodeFromBytes(packet, &d.feedback); err != nil {
		return Datagram{}, CauseIPv4
	}
	if d.feedback.truncated {
		return Datagram{}, CauseTruncated
	}
	if d.ipv4.FragOffset != 0 || d.ipv4.Flags&layers.IPv4MoreFragments != 0 {
		return Datagram{}, CauseFragment
	}
	from, _ := netip.AddrFromSlice(d.ipv4.SrcIP)
	to, _ := netip.AddrFromSlice(d.ipv4.DstIP)
	ipPacket := packet[:len(d.ipv4.Contents)+len(d.ipv4.Payload)]
	return d.decodeTransport(ipPacket, d.ipv4.Protocol, &d.ipv4, netip.AddrPortFrom(from, 0), netip.AddrPortFrom(to, 0))
}

func (d *Decoder) decodeIPv6(packet []byte) (Datagram, error) {
	if err := d.ipv6.DecodeFromBytes(packet, &d.feedback); err != nil {
		return Datagram{}, CauseIPv6
	}
	if d.feedback.truncated {
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
	ipPacket := packet[:len(d.ipv6.Contents)+len(d.ipv6.Payload)]
	return d.decodeTransport(ipPacket, d.ipv6.NextHeader, &d.ipv6, netip.AddrPortFrom(from, 0), netip.AddrPortFrom(to, 0))
}

// ipLayer is the decoded IP layer of a packet.
type ipLayer interface {
	gopacket.NetworkLayer
	LayerPayload() []byte
}

func (d *Decoder) decodeTransport(ipPacket []byte, protocol layers.IPProtocol, ip ipLayer, from, to netip.AddrPort) (Datagram, error) {
	result := Datagram{Packet: ipPacket}
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

// decodeUDP decodes the UDP header and verifies the checksum, because the host is
// the endpoint of UDP datagrams. The checksum of a TCP segment is left to the target.
func (d *Decoder) decodeUDP(ip ipLayer) error {
	if err := d.udp.DecodeFromBytes(ip.LayerPayload(), &d.feedback); err != nil {
		return CauseUDP
	}
	if d.feedback.truncated {
		return CauseTruncated
	}
	if err := d.udp.SetNetworkLayerForChecksum(ip); err != nil {
		return CauseUDP
	}
	checksumErr, checksum := d.udp.VerifyChecksum()
	if checksumErr != nil || !checksum.Valid {
		return CauseUDPChecksum
	}
	return nil
}
