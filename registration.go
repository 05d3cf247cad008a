package pimentospread

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RegistrationName is the name under which a target registers itself with the platform.
type RegistrationName string

// InstanceID is the number by which a target recognises packets addressed to it.
type InstanceID uint64

// Registration is the entry of a target at the platform, written by the target itself.
// It may be seconds old, and it expires if the target misses several heartbeats.
type Registration struct {
	Name     RegistrationName `msgpack:"Name"`
	Instance InstanceID       `msgpack:"Instance"`
	// Born is the start time of the target's process. A target that restarts may keep
	// its name, but it has no state of its earlier flows.
	Born          UnixMilli      `msgpack:"Born"`
	Service       ServiceName    `msgpack:"Service"`
	Address       netip.AddrPort `msgpack:"Address"`
	FailureDomain FailureDomain  `msgpack:"FailureDomain"`
	Slots         Slots          `msgpack:"Slots"`
	// Draining is set if the target must not get new flows.
	Draining bool `msgpack:"Draining"`
	// Warmup is the remaining warm-up time, during which the target is slow, at its last
	// report.
	Warmup time.Duration `msgpack:"Warmup"`
}

// UnixMilli is a point in time in milliseconds since the Unix epoch.
type UnixMilli int64

// Token identifies a target in the packets of a flow, so that any host can forward them
// without state of the flow. Zero means no target.
type Token uint32

// Token returns the token of this process of the target. Every host computes the same
// value from the same registration.
func (r Registration) Token() Token {
	var buffer [64]byte
	b := append(buffer[:0], r.Name...)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Born))
	if t := Token(xxhash.Sum64(b)); t != 0 {
		return t
	}
	return 1
}
