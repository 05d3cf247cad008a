// Package pimentospread defines the identifiers, units and interfaces that the
// packages of the load balancer share. It imports no other package of the
// project; implementations of its interfaces are in packages below it.
package pimentospread

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies an entry host. It is unique in a cell and is set in the host's settings.
type HostID string

// Incarnation distinguishes successive runs of one host. It is the start time
// in nanoseconds since the Unix epoch, so a later run has a higher value.
type Incarnation uint64

// FailureDomain names a set of hosts and targets that can fail or be disconnected
// together.
type FailureDomain string

// Region names a group of failure domains that are close to each other.
type Region string

// Cell names a group of hosts that serve the same addresses.
type Cell string

// ServiceName is the name that an operator gives to a service. It is the CoAP Uri-Host
// of its requests.
type ServiceName string

// PoolName is the name that an operator gives to a pool of targets.
type PoolName string

// PolicyName is the name that an operator gives to a policy.
type PolicyName string

// TargetName is the name that an operator gives to a target. It is unique in its pool.
type TargetName string

// ServiceID is the VXLAN network identifier of a service. Publishing assigns it and never reuses it.
type ServiceID uint32

// MaxServiceID is the largest value of a 24-bit VXLAN network identifier.
const MaxServiceID ServiceID = 1<<24 - 1

// TargetID identifies one registration of a target. Publishing assigns it and never
// reuses it, so a replacement at the same address gets another TargetID. Zero means
// no target.
type TargetID uint32

// HardwareAddress encodes the TargetID as a locally administered MAC address for the
// inner Ethernet header.
func (t TargetID) HardwareAddress() [6]byte {
	var mac [6]byte
	mac[0] = 0x02
	binary.BigEndian.PutUint32(mac[2:], uint32(t))
	return mac
}

// TargetIDFromHardwareAddress decodes a TargetID from a MAC address. It reports false
// for an address that HardwareAddress does not produce.
func TargetIDFromHardwareAddress(mac []byte) (TargetID, bool) {
	if len(mac) != 6 || mac[0] != 0x02 || mac[1] != 0 {
		return 0, false
	}
	return TargetID(binary.BigEndian.Uint32(mac[2:])), true
}

// Generation is the number of a release of a cell. It increases with each release.
type Generation uint64

// PublishID identifies one attempt to publish a release.
type PublishID string

// Class names a class of requests in a policy.
type Class string

// CallerID identifies the caller of a request.
type CallerID uint64

// RequestID identifies a request. All its transmissions have the same RequestID.
type RequestID struct {
	Caller   CallerID `msgpack:"Caller" json:"Caller"`
	Sequence uint64   `msgpack:"Sequence" json:"Sequence"`
}

// String returns the caller and the sequence number in hexadecimal.
func (r RequestID) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(r.Caller), r.Sequence)
}

// Hash returns a hash of the ID. It is the same on every host.
func (r RequestID) Hash() uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(r.Caller))
	binary.BigEndian.PutUint64(b[8:], r.Sequence)
	return xxhash.Sum64(b[:])
}

// AttemptID identifies one transmission of a request to a target. It is the CoAP token
// of that exchange.
type AttemptID uint64

// Digest is a hash of a set. It does not depend on the order of the members.
type Digest uint64

// FlowID identifies a flow by the hash of its key.
type FlowID uint64

// FlowKey is the pair of addresses that defines a TCP flow.
type FlowKey struct {
	Caller  netip.AddrPort `json:"Caller"`
	Service netip.AddrPort `json:"Service"`
}

// ID returns the hash of the key. It is the same on every host.
func (f FlowKey) ID() FlowID {
	var b [36]byte
	caller, service := f.Caller.Addr().As16(), f.Service.Addr().As16()
	copy(b[:16], caller[:])
	binary.BigEndian.PutUint16(b[16:], f.Caller.Port())
	copy(b[18:34], service[:])
	binary.BigEndian.PutUint16(b[34:], f.Service.Port())
	return FlowID(xxhash.Sum64(b[:]))
}
