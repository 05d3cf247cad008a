// Package capacity works out, from slopes that benchmarks have measured, what
// each role of a host costs at the size that is expected in two years.
package capacity

import (
	"math"
	"time"

	"pimentospread"
)

// PerSecond is a rate of events.
type PerSecond float64

// PerDay is a number of events on an ordinary day.
type PerDay float64

const day = 24 * time.Hour

// Rate returns the average rate over the day.
func (d PerDay) Rate() PerSecond { return PerSecond(float64(d) / day.Seconds()) }

// Size is the size of the whole fleet, as section 1 of the design page states it.
type Size struct {
	Hosts, Targets, Addresses int
	Flows                     float64
	NewFlows                  PerSecond
	Regions, FailureDomains   int
	Changes                   PerDay
	HostFailures              PerDay
	Restarts                  PerDay
}

// ProjectedSize is the size in two years.
func ProjectedSize() Size {
	return Size{
		Hosts: 13_000, Targets: 130_000, Addresses: 17_000,
		Flows: 79e6, NewFlows: 1.4e6, Regions: 9, FailureDomains: 27,
		Changes: 65_000, HostFailures: 470, Restarts: 52_000,
	}
}

// Limits are what control may cost and what the platform takes.
type Limits struct {
	// CPU is the share of one core that the control of a host may use.
	CPU            pimentospread.Ratio
	Memory         pimentospread.Bytes
	Traffic        pimentospread.BytesPerSecond
	ActivationTime time.Duration
	// Reads and Writes are the platform's calls; a waiting watch counts as one call when it begins.
	Reads, Writes PerSecond
	// MaxValueSize is the platform's longest value.
	MaxValueSize pimentospread.Bytes
}

// StatedLimits are the limits of the design page. "Several hundred" writes counts as 300.
func StatedLimits() Limits {
	return Limits{
		CPU: 0.028, Memory: 256e6, Traffic: 11_000, ActivationTime: 10 * time.Second,
		Reads: 2000, Writes: 300, MaxValueSize: 1 << 20,
	}
}

// Design holds the constants of the present design that enter the figures.
// Most of them are unexported in the packages named.
type Design struct {
	// CellHosts is the largest cell (section 6).
	CellHosts int
	// DrainedShare is the share of the targets that drain at a time: 1 of 14.
	DrainedShare pimentospread.Ratio
	// HeartbeatInterval, DeadAfter and RosterHold are those of package member.
	HeartbeatInterval, DeadAfter time.Duration
	// RelaysPerDomain and WatchesPerRelay are the watching hosts of a failure domain and the objects that each watches.
	RelaysPerDomain, WatchesPerRelay int
	// WatchTimeout is how long a watch waits, MaxRetryDelay the longest pause of one that fails (package control).
	WatchTimeout, MaxRetryDelay time.Duration
	// ReadsPerStart are the reads of a starting host.
	ReadsPerStart int
	// FlowShards is the default of the settings. Each has its own announcement rates.
	FlowShards int
	// HoldersPerRecord, AnnounceRate, HandoverRate and RecordCost are those of package decide.
	HoldersPerRecord           int
	AnnounceRate, HandoverRate pimentospread.BytesPerSecond
	RecordWireSize             pimentospread.Bytes
	// RecordLifetime is the idle timeout and its grace.
	RecordLifetime, IdleTimeout time.Duration
	ShutdownGrace               time.Duration
	// MaxEpochs is the number at which ended epochs are dropped (package pool).
	MaxEpochs int
	// GrantLifetime is how long an elector remembers a grant.
	GrantLifetime      time.Duration
	ElectorsPerRequest int
}

// CurrentDesign returns the constants of the code.
func CurrentDesign() Design {
	return Design{
		CellHosts: 16, DrainedShare: 1.0 / 14, HeartbeatInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second,
		RelaysPerDomain: 2, WatchesPerRelay: 2, WatchTimeout: 30 * time.Second, MaxRetryDelay: 3 * time.Second, ReadsPerStart: 2,
		FlowShards: 2, HoldersPerRecord: 2, AnnounceRate: 2000, HandoverRate: 32_000, RecordWireSize: 14,
		RecordLifetime: 145 * time.Minute, IdleTimeout: 135 * time.Minute, ShutdownGrace: 30 * time.Second,
		MaxEpochs: 32, GrantLifetime: 12 * time.Second, ElectorsPerRequest: 3,
	}
}

// Assumptions are quantities that the stated size does not give.
type Assumptions struct {
	// ClaimRate are the non-idempotent requests of a cell.
	ClaimRate PerSecond
	// WaitingRequests wait at one host at the same time, CallersPerService are those of one service.
	WaitingRequests, CallersPerService int
	// HostsPerRack stand in one rack.
	HostsPerRack int
}

// DefaultAssumptions returns the assumptions of the page.
func DefaultAssumptions() Assumptions {
	return Assumptions{ClaimRate: 100, WaitingRequests: 1000, CallersPerService: 1000, HostsPerRack: 40}
}

// Cell is the share of one cell in the size.
type Cell struct {
	Cells, Hosts       int
	Addresses, Targets float64
	Flows              float64
	NewFlows           PerSecond
	// Domains are the failure domains of the cell, which are those of its region.
	Domains  int
	Changes  PerDay
	Failures PerDay
	Restarts PerDay
}

// Cell divides the size evenly over cells of at most the given number of hosts.
func (s Size) Cell(hosts int) Cell {
	cells := int(math.Ceil(float64(s.Hosts) / float64(hosts)))
	n := float64(cells)
	return Cell{
		Cells: cells, Hosts: hosts, Addresses: float64(s.Addresses) / n, Targets: float64(s.Targets) / n,
		Flows: s.Flows / n, NewFlows: s.NewFlows / PerSecond(n), Domains: s.FailureDomains / s.Regions,
		Changes: s.Changes / PerDay(n), Failures: s.HostFailures / PerDay(n), Restarts: s.Restarts / PerDay(n),
	}
}
