package member

import (
	"net/netip"
	"time"

	"pimentospread"
)

// HostStatus is what one host knows of another.
type HostStatus struct {
	Host          pimentospread.HostID        `json:"Host"`
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	AdminAddress  netip.AddrPort              `json:"AdminAddress"`
	Alive         bool                        `json:"Alive"`
	Ready         bool                        `json:"Ready"`
	Leaving       bool                        `json:"Leaving"`
	// Prepared is the newest generation that the host has loaded.
	Prepared pimentospread.Generation `json:"Prepared"`
	// Active is the generation by which the host places new work.
	Active pimentospread.Generation `json:"Active"`
	// HeardAt is the time of the last heartbeat; zero when none was heard.
	HeardAt time.Time `json:"HeardAt,omitzero"`
}

// CellStatus is the cell as one host sees it.
type CellStatus struct {
	// Reporter is the host that gives the status.
	Reporter   pimentospread.HostID     `json:"Reporter"`
	Generation pimentospread.Generation `json:"Generation"`
	Hosts      []HostStatus             `json:"Hosts"`
}
