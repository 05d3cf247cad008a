// Package capacity calculates the cost of each role of a host at the fleet size
// that is projected for two years ahead. It extrapolates from slopes that
// benchmarks have measured.
package capacity

import (
	"math"
	"time"

	"pimentospread"
)

// PerSecond is a rate of events.
type PerSecond float64

// PerDay is the number of events on an ordinary day.
type PerDay float64

const day = 24 * time.Hour

// Rate returns the average rate over the day.
func (d PerDay) Rate() PerSecond { return PerSecond(float64(d) / day.Seconds()) }

// Size is the size and the load of the whole fleet, as stated in section 1 of the design page.
type Size struct {
	Hosts, Targets, Addresses int
	Flows                     float64
	NewFlows                  PerSecond
	Regions, FailureDomains   int
	Changes                   PerDay
	HostFailures              PerDay
	Restarts                  PerDay
}

// ProjectedSize returns the size that is expected in two years.
func ProjectedSize() Size {
	return Size{
		Hosts: 13_000, Targets: 130_000, Addresses: 17_000,
		Flows: 79e6, NewFlows: 1.4e6, Regions: 9, FailureDomains: 27,
		Changes: 65_000, HostFailures: 470, Restarts: 52_000,
	}
}

// Limits are the resources that a host may spend on control and the load that the
// platform accepts.
type Limits struct {
	// CPU is the share of one core that a host may spend on control.
	CPU     pimentospread.Ratio
	Memory  pimentospread.Bytes
	Traffic pimentospread.BytesPerSecond
	// ActivationTime is the time in which a change must be in force on every host.
	ActivationTime time.Duration
	// Reads and Writes are the calls that the platform accepts. A watch counts as one
	// read when it starts.
	Reads, Writes PerSecond
	// MaxValueSize is the size of the largest value that the platform stores.
	MaxValueSize pimentospread.Bytes
}

// StatedLimits returns the limits of the design page. The page's "several hundred"
// writes are taken as 300.
func StatedLimits() Limits {
	return Limits{
		CPU: 0.028, Memory: 256e6, Traffic: 11_000, ActivationTime: 10 * time.Second,
		Reads: 2000, Writes: 300, MaxValueSize: 1 << 20,
	}
}

// Design holds the constants of the current design on which the figures depend.
// Most of them are unexported in the packages that the comments name.
type Design struct {
	// CellHosts is the highest number of hosts in a cell (section 6 of the design page).
	CellHosts int
	// DrainedShare is the share of the targets that drain at the same time: 1 of 14.
	DrainedShare pimentospread.Ratio
	// HeartbeatInterval and DeadAfter are the constants of package member.
	HeartbeatInterval, DeadAfter time.Duration
	// RelaysPerFailureDomain is the number of hosts of a cell in a failure domain that watch
	// the platform. WatchesPerRelay is the number of objects that each of them watches.
	RelaysPerFailureDomain, WatchesPerRelay int
	// WatchTimeout is the time after which a watch without a change returns (package
	// platform). MaxRetryDelay is the longest delay after a failed watch (package
	// controlplane).
	WatchTimeout, MaxRetryDelay time.Duration
	// ReadsPerStart is the number of platform reads of a starting host.
	ReadsPerStart int
	// FlowShards is the default number of flow shards. The announcement rates apply to each shard.
	FlowShards int
	// HoldersPerRecord, AnnounceRate, HandoverRate and RecordWireSize are constants of
	// package dataplane.
	HoldersPerRecord           int
	AnnounceRate, HandoverRate pimentospread.BytesPerSecond
	RecordWireSize             pimentospread.Bytes
	// RecordLifetime is IdleTimeout plus the time for which a record outlives it.
	RecordLifetime, IdleTimeout time.Duration
	ShutdownGrace               time.Duration
	// MaxEpochs is the number of epochs of a pool above which ended epochs are dropped
	// (package pool).
	MaxEpochs int
	// GrantLifetime is the time for which an elector keeps a grant.
	GrantLifetime      time.Duration
	ElectorsPerRequest int
}

// CurrentDesign returns the constants of the current code.
func CurrentDesign() Design {
	return Design{
		CellHosts: 16, DrainedShare: 1.0 / 14, HeartbeatInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second,
		RelaysPerFailureDomain: 2, WatchesPerRelay: 2, WatchTimeout: 30 * time.Second, MaxRetryDelay: 3 * time.Second, ReadsPerStart: 2,
		FlowShards: 2, HoldersPerRecord: 2, AnnounceRate: 2000, HandoverRate: 32_000, RecordWireSize: 14,
		RecordLifetime: 145 * time.Minute, IdleTimeout: 135 * time.Minute, ShutdownGrace: 30 * time.Second,
		MaxEpochs: 32, GrantLifetime: 12 * time.Second, ElectorsPerRequest: 3,
	}
}

// Assumptions are quantities that the stated size does not include.
type Assumptions struct {
	// ClaimRate is the rate of non-idempotent requests of a cell.
	ClaimRate PerSecond
	// WaitingRequests is the number of requests in the queue of one host.
	// CallersPerService is the number of callers of one service.
	WaitingRequests, CallersPerService int
	// HostsPerRack is the number of hosts in one rack.
	HostsPerRack int
}

// DefaultAssumptions returns the assumptions of the capacity page.
func DefaultAssumptions() Assumptions {
	return Assumptions{ClaimRate: 100, WaitingRequests: 1000, CallersPerService: 1000, HostsPerRack: 40}
}

// Cell is the size and the load of one cell.
type Cell struct {
	Cells, Hosts       int
	Addresses, Targets float64
	Flows              float64
	NewFlows           PerSecond
	// FailureDomains is the number of failure domains of the cell, which are those of its region.
	FailureDomains int
	Changes        PerDay
	Failures       PerDay
	Restarts       PerDay
}

// Cell returns the size of a cell if the fleet is divided evenly into cells of at
// most the given number of hosts.
func (s Size) Cell(hosts int) Cell {
	cells := int(math.Ceil(float64(s.Hosts) / float64(hosts)))
	n := float64(cells)
	return Cell{
		Cells: cells, Hosts: hosts, Addresses: float64(s.Addresses) / n, Targets: float64(s.Targets) / n,
		Flows: s.Flows / n, NewFlows: s.NewFlows / PerSecond(n), FailureDomains: s.FailureDomains / s.Regions,
		Changes: s.Changes / PerDay(n), Failures: s.HostFailures / PerDay(n), Restarts: s.Restarts / PerDay(n),
	}
}
