package controlplane

import (
	"net/netip"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/pool"
)

// TableBuild asks for the tables of a release. It takes long for large pools, so
// another duty does it.
type TableBuild struct {
	Content *PackedRelease
	// Base is the active generation, whose tables say where new flows go until the next is active.
	Base     pimentospread.Generation
	Services map[pimentospread.ServiceID]*dataplane.ServiceView
}

// WatchChange starts or stops watching the platform.
type WatchChange struct{ On bool }

// Anomaly names a condition that operators should hear of.
type Anomaly string

// Anomalies of a cell.
const (
	// AnomalyPaused means that the host did not run for a while.
	AnomalyPaused Anomaly = "paused"
	// AnomalyDivergence means that two contents have the same generation.
	AnomalyDivergence Anomaly = "divergence"
	// AnomalyAllDown means that all targets of a pool are reported down, which is not believed.
	AnomalyAllDown Anomaly = "all_down"
)

// Actions is what the cell wants done after an event.
type Actions struct {
	Messages []pimentospread.Outbound
	// Build is nil when no tables are needed.
	Build *TableBuild
	// View is the newest view, or nil when nothing changed for the deciders.
	View *dataplane.View
	// Watch is nil when the watch stays as it is.
	Watch *WatchChange
	// ReadPlatform asks for the release and the roster, once.
	ReadPlatform bool
	// Peers is nil when the set of peers stays as it is.
	Peers map[pimentospread.HostID]netip.AddrPort
	// Probes are the targets to be probed now.
	Probes []pool.Target
	// Reports are for the placement of requests.
	Reports   []pimentospread.LoadReport
	Anomalies []Anomaly
}
