package pimentospread

import (
	"context"
	"net/netip"
	"time"
)

// LoadReport is the health and load that a target reports. It may be outdated or wrong.
type LoadReport struct {
	Target TargetID `json:"-"`
	// Healthy is false if the probe failed or the target reports that it is down.
	Healthy bool `json:"Healthy"`
	// Draining is set if the target must not get new work.
	Draining bool `json:"Draining"`
	// Cold is set while the target is warming up after its start and is slow.
	Cold bool `json:"Cold"`
	// Running is the number of running requests.
	Running Slots `json:"Running"`
	// Connections is the number of open flows.
	Connections Connections `json:"Connections"`
	// At is when the report was received.
	At time.Time `json:"-"`
}

// Prober requests load reports from targets.
type Prober interface {
	// Probe returns the report of the target at the address, or an error if none was
	// received.
	Probe(ctx context.Context, address netip.AddrPort) (LoadReport, error)
}
