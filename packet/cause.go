package packet

// Cause is the reason why a datagram could not be decoded. The metric of malformed
// datagrams has it as a label. It is a string constant, so that an error costs no
// allocation.
type Cause string

// Causes of malformed datagrams.
const (
	CauseVXLAN         Cause = "vxlan_header"
	CauseVNI           Cause = "vxlan_identifier_not_valid"
	CauseEthernet      Cause = "ethernet_header"
	CauseEtherType     Cause = "ethernet_type"
	CauseHardware      Cause = "hardware_address"
	CauseIPv4          Cause = "ipv4_header"
	CauseIPv6          Cause = "ipv6_header"
	CauseTruncated     Cause = "truncated"
	CauseFragment      Cause = "fragment"
	CauseProtocol      Cause = "ip_protocol"
	CauseTCP           Cause = "tcp_header"
	CauseUDP           Cause = "udp_header"
	CauseUDPChecksum   Cause = "udp_checksum"
	CauseNoAddress     Cause = "no_address"
	CauseNotResettable Cause = "not_resettable"
)

// Error implements error.
func (c Cause) Error() string { return "packet is malformed: " + string(c) }
