package pimentospread

import (
	"context"
	"net/netip"
	"time"
)

// LoadReport is what a target says of itself. It may lag or mislead.
type LoadReport struct {
	Target TargetID `json:"-"`
	// Healthy is false when the probe failed or the target says that it is down.
	Healthy bool `json:"Healthy"`
	// Draining says that the target wants no new work.
	Draining bool `json:"Draining"`
	// Cold says that the target has just started and is slow.
	Cold        bool        `json:"Cold"`
	Running     Slots       `json:"Running"`
	Connections Connections `json:"Connections"`
	At          time.Time   `json:"-"`
}

// Prober asks a target for its health and load.
type Prober interface {
	// Probe returns the report of the target at the address. An error means that no report was received.
	Probe(ctx context.Context, address netip.AddrPort) (LoadReport, error)
}
