package controlplane

import (
	"net/netip"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/pool"
)

// TableBuild is a request to compute the tables of a release. It runs in its own
// duty because large pools take long.
type TableBuild struct {
	PackedRelease *PackedRelease
	// Base is the active generation. Its tables route new flows until the next generation is active.
	Base     pimentospread.Generation
	Services map[pimentospread.ServiceID]*dataplane.ServiceView
}

// Republication is a request to write a release that the platform has lost.
type Republication struct {
	PackedRelease *PackedRelease
	// Older is the release that it replaces, and Expected the version of its object.
	Older    *PackedRelease
	Expected pimentospread.ObjectVersion
}

// WatchChange is a request to start or stop watching the platform.
type WatchChange struct{ On bool }

// Anomaly is a condition that is reported to operators by a log message and a metric.
type Anomaly string

// Anomalies of a cell.
const (
	// AnomalyPaused means that the process did not run for at least pauseThreshold.
	AnomalyPaused Anomaly = "paused"
	// AnomalyDivergence means that two different releases have the same generation.
	AnomalyDivergence Anomaly = "divergence"
	// AnomalyAllDown means that every target of a pool is reported down or draining.
	// The cell then ignores the down reports of that pool.
	AnomalyAllDown Anomaly = "all_down"
)

// Actions are the effects that the caller of Cell.Handle has to carry out.
type Actions struct {
	Messages []pimentospread.Outbound
	// Build is nil when no tables are needed.
	Build *TableBuild
	// View is the new view for the data-plane workers, or nil when the view did not change.
	View *dataplane.View
	// Watch is nil when the watch does not change.
	Watch *WatchChange
	// Republish is nil unless the platform has an older release than this host.
	Republish *Republication
	// ReadPlatform requests a single read of the release and the roster.
	ReadPlatform bool
	// Peers is nil when the set of peers does not change.
	Peers map[pimentospread.HostID]netip.AddrPort
	// Probes are the targets to probe now.
	Probes []pool.Target
	// Reports are the probe results for request placement.
	Reports   []pimentospread.LoadReport
	Anomalies []Anomaly
}
