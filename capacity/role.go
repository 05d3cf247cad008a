package capacity

import (
	"pimentospread"
)

// Role is a part of the work of a host with its costs.
type Role struct {
	Name string
	// When is the condition of the cell under which the costs arise.
	When Condition
	// State describes the data that the role keeps in memory.
	State    string
	Memory   pimentospread.Bytes
	Messages PerSecond
	Traffic  pimentospread.BytesPerSecond
	// CPU is the share of one core.
	CPU pimentospread.Ratio
	// Mechanism describes how hosts coordinate or why the costs arise.
	Mechanism string
	// Slopes lists the benchmarks from which the costs are calculated.
	Slopes []Benchmark
}

// Condition is a state of a cell. The costs of a condition are in addition to those of Always.
type Condition string

// Conditions of a cell.
const (
	Always Condition = "always"
	// Drain means that one of 14 targets drains and the fabric sends all packets of a flow to one host.
	Drain Condition = "drain, flow at one host"
	// Spray is Drain with a fabric that spreads the packets of each flow over all hosts.
	Spray Condition = "drain, flow at all hosts"
	// Claims means 100 non-idempotent requests a second for each cell, which is assumed.
	Claims Condition = "claims (assumed)"
	// FailureDomainDown means that the targets of a failure domain do not answer probes.
	FailureDomainDown Condition = "failure domain down"
)

// Sizes of the headers of TCP and IP. With time stamps they take 52 bytes for each
// segment.
const (
	// messageHeaders is the size of the headers of a peer message and its
	// acknowledgement. Each message is a separate segment. Its acknowledgement is an
	// empty segment because the other direction has its own connection.
	messageHeaders = 2 * 52
	// probeHeaders is the size of the headers of a probe: the request, the response
	// and the acknowledgement of the response.
	probeHeaders = 3 * 52
)

// addHeaders returns the traffic of messages including their headers.
func addHeaders(bytes, messages float64) pimentospread.BytesPerSecond {
	return pimentospread.BytesPerSecond(bytes + messageHeaders*messages)
}

// Roles returns the costs of each role of one host.
func (m *Model) Roles() []Role {
	return []Role{
		m.flowShards(), m.recordHolders(Drain, "Drain"), m.recordHolders(Spray, "DrainSpray"), m.requests(), m.electors(),
		m.control(), m.controlFailureDomainDown(), m.relay(), m.prober(), m.publisher(), m.network(),
	}
}

func (m *Model) flowShards() Role {
	flows := m.Cell.Flows
	tables := 2 * m.Cell.Addresses * m.valueAt("TableTargets", "B/table", m.targetsPerPool())
	return Role{
		Name: "Flow shards", When: Always,
		State:     "flow table with every open flow of the cell; two lookup tables for each pool",
		Memory:    pimentospread.Bytes(flows*m.valueAt("FlowMemory", "B/flow", flows) + tables),
		CPU:       cpuShare(float64(m.Cell.NewFlows)*m.valueAt("FlowDecision", "new-cpu-ns", flows) + float64(m.Design.FlowShards)*m.valueAt("FlowTick", "cpu-ns/s", flows)),
		Mechanism: "lookup table derived from the release; no message for a flow whose target the table determines",
		Slopes:    []Benchmark{"FlowMemory", "FlowDecision", "FlowTick", "TableTargets"},
	}
}

func (m *Model) recordHolders(when Condition, name Benchmark) Role {
	rate, records := float64(m.Cell.NewFlows), m.recordsPerHost()
	return Role{
		Name: "Holder of records", When: when,
		State:     "records of the last 2 h 25 min",
		Memory:    pimentospread.Bytes(records * m.valueAt("RecordMemory", "B/record", records)),
		Messages:  PerSecond(m.valueAt(name, "messages/host-s", rate)),
		Traffic:   addHeaders(m.valueAt(name, "B/host-s", rate), m.valueAt(name, "messages/host-s", rate)),
		CPU:       cpuShare(m.valueAt(name, "cpu-ns/host-s", rate)),
		Mechanism: "records are sent to two holders, queries to four; one message to each peer every 200 ms",
		Slopes:    []Benchmark{name, "RecordMemory", "RecordedFlow"},
	}
}

func (m *Model) requests() Role {
	held := float64(m.Assumptions.WaitingRequests)
	return Role{
		Name: "Requests duty", When: Always,
		State:     "1,000 waiting requests (assumed); queue, request table, limits",
		Memory:    pimentospread.Bytes(held * m.valueAt("HeldRequests", "B/request", held)),
		CPU:       cpuShare(float64(m.Assumptions.ClaimRate) / float64(m.Cell.Hosts) * m.valueAt("IdempotentRequest", "cpu-ns/request", float64(m.Cell.Hosts))),
		Mechanism: "each host admits requests on its own; slots are divided by rank without messages",
		Slopes:    []Benchmark{"HeldRequests", "IdempotentRequest"},
	}
}

func (m *Model) electors() Role {
	hosts := float64(m.Cell.Hosts)
	share := float64(m.Assumptions.ClaimRate) / hosts
	grants := share * float64(m.Design.ElectorsPerRequest) * m.Design.GrantLifetime.Seconds()
	perRequest := m.valueAt("NonIdempotentRequest", "cpu-ns/request", hosts) + m.valueAt("NonIdempotentRequest", "codec-cpu-ns/request", hosts)
	return Role{
		Name: "Claimant and elector", When: Claims,
		State:     "grants of the last 12 s at 100 non-idempotent requests a second for each cell",
		Memory:    pimentospread.Bytes(grants * m.valueAt("Elector", "B/grant", grants)),
		Messages:  PerSecond(share * m.valueAt("NonIdempotentRequest", "messages/request", hosts)),
		Traffic:   addHeaders(share*m.valueAt("NonIdempotentRequest", "B/request", hosts), share*m.valueAt("NonIdempotentRequest", "messages/request", hosts)),
		CPU:       cpuShare(share * perRequest),
		Mechanism: "grants of two of three electors, which are chosen by rank over the roster",
		Slopes:    []Benchmark{"NonIdempotentRequest", "Elector"},
	}
}

func (m *Model) control() Role {
	hosts := float64(m.Cell.Hosts)
	packed := m.valueAt("ReleaseTargets", "packed-B", m.Cell.Targets)
	return Role{
		Name: "Control duty", When: Always,
		State:     "roster, peers, health, release",
		Memory:    pimentospread.Bytes(m.valueAt("CellQuiet", "B/host", hosts) + packed + 4*m.valueAt("ReleaseTargets", "json-B", m.Cell.Targets)),
		Messages:  PerSecond(m.valueAt("CellQuiet", "messages/host-s", hosts)),
		Traffic:   addHeaders(m.valueAt("CellQuiet", "B/host-s", hosts), m.valueAt("CellQuiet", "messages/host-s", hosts)),
		CPU:       cpuShare(m.valueAt("CellQuiet", "cell-cpu-ns/host-s", hosts) + m.valueAt("CellQuiet", "codec-cpu-ns/host-s", hosts)),
		Mechanism: "heartbeat to each peer of the cell every 500 ms",
		Slopes:    []Benchmark{"CellQuiet"},
	}
}

// controlFailureDomainDown returns the additional costs when the targets of a failure domain are flagged.
func (m *Model) controlFailureDomainDown() Role {
	increase := func(unit Metric) float64 {
		return m.valueAt("CellFlagged", unit, m.targetsPerFailureDomain()) - m.valueAt("CellFlagged", unit, 0)
	}
	return Role{
		Name: "Control duty", When: FailureDomainDown,
		State:     "flagged targets, acknowledgements of up to 15 reporters",
		Traffic:   pimentospread.BytesPerSecond(max(0, increase("B/host-s"))),
		CPU:       cpuShare(max(0, increase("cell-cpu-ns/host-s")+increase("codec-cpu-ns/host-s"))),
		Mechanism: "down targets and acknowledgements in each heartbeat",
		Slopes:    []Benchmark{"CellFlagged"},
	}
}

func (m *Model) relay() Role {
	changes := float64(m.Cell.Changes.Rate())
	size := m.valueAt("ReleaseTargets", "json-B", m.Cell.Targets)
	return Role{
		Name: "Relay", When: Always,
		State:     "two open watches, last release",
		Memory:    pimentospread.Bytes(2 * size),
		Messages:  PerSecond(float64(m.Design.WatchesPerRelay)/m.Design.WatchTimeout.Seconds() + changes),
		Traffic:   pimentospread.BytesPerSecond(changes * size),
		CPU:       cpuShare(changes * m.valueAt("ReleaseTargets", "pack-cpu-ns", m.Cell.Targets)),
		Mechanism: "two hosts in each failure domain of a cell watch the platform",
		Slopes:    []Benchmark{"ReleaseTargets", "PlatformCalls"},
	}
}

func (m *Model) prober() Role {
	probes := m.valueAt("CellQuiet", "probes/host-s", float64(m.Cell.Hosts))
	return Role{
		Name: "Prober", When: Always,
		State:     "one persistent connection for each probed target",
		Messages:  PerSecond(2 * probes),
		Traffic:   pimentospread.BytesPerSecond(probes * (m.valueAt("Probe", "B/probe", probes) + probeHeaders)),
		CPU:       cpuShare(probes * m.valueAt("Probe", "cpu-ns/probe", probes)),
		Mechanism: "each target is probed by two hosts every second",
		Slopes:    []Benchmark{"Probe", "CellQuiet"},
	}
}

func (m *Model) publisher() Role {
	changes := float64(m.Cell.Changes.Rate())
	targets, callers := m.Cell.Targets, float64(m.Assumptions.CallersPerService)
	report := m.valueAt("BurnCallers", "B/service", callers)
	return Role{
		Name: "Publisher and administration", When: Always,
		State:     "burn counts of 1,000 callers for each service (assumed)",
		Memory:    pimentospread.Bytes(m.Cell.Addresses * report),
		Messages:  PerSecond(3 * changes),
		Traffic:   pimentospread.BytesPerSecond(3 * changes * m.valueAt("ReleaseTargets", "json-B", targets)),
		CPU:       cpuShare(changes * (m.valueAt("ReleaseTargets", "next-cpu-ns", targets) + m.valueAt("ReleaseTargets", "decode-cpu-ns", targets))),
		Mechanism: "any host can publish: one read, an archive write, a conditional write",
		Slopes:    []Benchmark{"ReleaseTargets", "BurnCallers", "BurnHosts"},
	}
}

func (m *Model) network() Role {
	messages := m.valueAt("CellQuiet", "messages/host-s", float64(m.Cell.Hosts))
	return Role{
		Name: "Peers network", When: Always,
		State:     "two connections for each peer",
		Memory:    pimentospread.Bytes(2 * m.peers() * m.valueAt("PeerNetwork", "B/connection", m.peers())),
		CPU:       cpuShare(messages * m.valueAt("PeerNetwork", "cpu-ns/message", m.peers())),
		Mechanism: "encoding and system calls of the heartbeats at both ends; their traffic is counted in the control duty",
		Slopes:    []Benchmark{"PeerNetwork"},
	}
}

// Total returns the sum of the costs of a condition and of Always.
func (m *Model) Total(when Condition) Role {
	total := Role{Name: "Sum", When: when}
	for _, r := range m.Roles() {
		if r.When != Always && r.When != when {
			continue
		}
		total.Memory += r.Memory
		total.Messages += r.Messages
		total.Traffic += r.Traffic
		total.CPU += r.CPU
	}
	return total
}
