package pimentospread

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RegistrationName is the name under which a target registers itself with the platform.
type RegistrationName string

// InstanceID is the number by which a target recognises the packets that are meant for it.
type InstanceID uint64

// Registration is what a target says of itself in the platform. It may be
// seconds old, and it lapses some heartbeats after its target fell silent.
type Registration struct {
	Name     RegistrationName `msgpack:"Name"`
	Instance InstanceID       `msgpack:"Instance"`
	// Born is the start of the target's process. A target that starts again
	// may keep its name, and then it knows no flow of before.
	Born          UnixMilli      `msgpack:"Born"`
	Service       ServiceName    `msgpack:"Service"`
	Address       netip.AddrPort `msgpack:"Address"`
	FailureDomain FailureDomain  `msgpack:"FailureDomain"`
	Slots         Slots          `msgpack:"Slots"`
	// Draining says that the target wants no new flows.
	Draining bool `msgpack:"Draining"`
	// Warmup is how much longer the target is slow, counted from its last report.
	Warmup time.Duration `msgpack:"Warmup"`
}

// UnixMilli is a time of day in milliseconds since the Unix epoch.
type UnixMilli int64

// Token names a target in the packets of a flow, so that any host steers them
// without knowing the flow. Zero means no target.
type Token uint32

// Token returns the token of this incarnation of the target. Every host
// computes the same value from the same registration.
func (r Registration) Token() Token {
	var room [64]byte
	b := append(room[:0], r.Name...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Born))
	if t := Token(xxhash.Sum64(b)); t != 0 {
		return t
	}
	return 1
}
