package member

import (
	"net/netip"
	"time"

	"pimentospread"
)

// HostStatus is the status of a host as seen by the reporting host.
type HostStatus struct {
	Host          pimentospread.HostID        `json:"Host"`
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	AdminAddress  netip.AddrPort              `json:"AdminAddress"`
	Alive         bool                        `json:"Alive"`
	Ready         bool                        `json:"Ready"`
	Leaving       bool                        `json:"Leaving"`
	// Prepared is the newest generation that all data-plane workers of the host have prepared.
	Prepared pimentospread.Generation `json:"Prepared"`
	// Active is the generation that the host uses for new work.
	Active pimentospread.Generation `json:"Active"`
	// HeardAt is the time of the last heartbeat; zero when none was received.
	HeardAt time.Time `json:"HeardAt,omitzero"`
}

// CellStatus is the status of a cell as seen by one host.
type CellStatus struct {
	// Reporter is the host that reports the status.
	Reporter   pimentospread.HostID     `json:"Reporter"`
	Generation pimentospread.Generation `json:"Generation"`
	Hosts      []HostStatus             `json:"Hosts"`
}
