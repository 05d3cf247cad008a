package capacity

import (
	"pimentospread"
)

// Role is a part of a host's work with what it costs that host.
type Role struct {
	Name string
	// When says in which state of the cell the figures hold.
	When      Condition
	State     string
	Memory    pimentospread.Bytes
	Messages  PerSecond
	Traffic   pimentospread.BytesPerSecond
	CPU       pimentospread.Ratio
	Mechanism string
	Slopes    []Benchmark
}

// Condition is a state of a cell. The costs of a condition come on top of Always.
type Condition string

// Conditions of a cell.
const (
	Always Condition = "always"
	// Drain means that one of 14 targets drains and the fabric keeps a flow at one host.
	Drain Condition = "drain, flow at one host"
	// Spray means the same under a fabric that spreads the packets of each flow over all hosts.
	Spray Condition = "drain, flow at all hosts"
	// Claims means 100 non-idempotent requests a second for each cell, which is assumed.
	Claims Condition = "claims (assumed)"
	// DomainDown means that the targets of a failure domain do not answer probes.
	DomainDown Condition = "failure domain down"
)

// Headers of TCP and IP with time stamps take 52 bytes. A message to a peer is
// a segment of its own and is acknowledged by an empty one, because the other
// direction has its own connection. A probe has a request, an answer and the
// acknowledgement of the answer.
const (
	headers      = 2 * 52
	probeHeaders = 3 * 52
)

// onWire adds the headers of messages to their bytes.
func onWire(bytes, messages float64) pimentospread.BytesPerSecond {
	return pimentospread.BytesPerSecond(bytes + headers*messages)
}

// Roles returns the cost of each role at one host.
func (m *Model) Roles() []Role {
	return []Role{
		m.flowShards(), m.holders(Drain, "Drain"), m.holders(Spray, "DrainSpray"), m.requests(), m.electors(),
		m.control(), m.controlDomainDown(), m.relay(), m.prober(), m.publisher(), m.network(),
	}
}

func (m *Model) flowShards() Role {
	flows := m.Cell.Flows
	tables := 2 * m.Cell.Addresses * m.at("TableTargets", "B/table", m.poolTargets())
	return Role{
		Name: "Flow shards", When: Always,
		State:     "flow table with every open flow of the cell; two tables for each pool",
		Memory:    pimentospread.Bytes(flows*m.at("FlowMemory", "B/flow", flows) + tables),
		CPU:       core(float64(m.Cell.NewFlows)*m.at("FlowDecision", "new-cpu-ns", flows) + float64(m.Design.FlowShards)*m.at("FlowTick", "cpu-ns/s", flows)),
		Mechanism: "table from the release; no message for a flow that the table determines",
		Slopes:    []Benchmark{"FlowMemory", "FlowDecision", "FlowTick", "TableTargets"},
	}
}

func (m *Model) holders(when Condition, name Benchmark) Role {
	rate, records := float64(m.Cell.NewFlows), m.records()
	return Role{
		Name: "Holder of records", When: when,
		State:     "records of the last 2 h 25 min",
		Memory:    pimentospread.Bytes(records * m.at("RecordMemory", "B/record", records)),
		Messages:  PerSecond(m.at(name, "messages/host-s", rate)),
		Traffic:   onWire(m.at(name, "B/host-s", rate), m.at(name, "messages/host-s", rate)),
		CPU:       core(m.at(name, "cpu-ns/host-s", rate)),
		Mechanism: "record at two holders, question to four; one message to a peer each 200 ms",
		Slopes:    []Benchmark{name, "RecordMemory", "RecordedFlow"},
	}
}

func (m *Model) requests() Role {
	held := float64(m.Assumptions.WaitingRequests)
	return Role{
		Name: "Requests duty", When: Always,
		State:     "1,000 requests that wait (assumed); queue, ledger, limits",
		Memory:    pimentospread.Bytes(held * m.at("HeldRequests", "B/request", held)),
		CPU:       core(float64(m.Assumptions.ClaimRate) / float64(m.Cell.Hosts) * m.at("IdempotentRequest", "cpu-ns/request", float64(m.Cell.Hosts))),
		Mechanism: "each host admits alone; slots split by rank without messages",
		Slopes:    []Benchmark{"HeldRequests", "IdempotentRequest"},
	}
}

func (m *Model) electors() Role {
	hosts := float64(m.Cell.Hosts)
	share := float64(m.Assumptions.ClaimRate) / hosts
	grants := share * float64(m.Design.ElectorsPerRequest) * m.Design.GrantLifetime.Seconds()
	perRequest := m.at("NonIdempotentRequest", "cpu-ns/request", hosts) + m.at("NonIdempotentRequest", "codec-cpu-ns/request", hosts)
	return Role{
		Name: "Claimant and elector", When: Claims,
		State:     "grants of the last 12 s at 100 non-idempotent requests a second for each cell",
		Memory:    pimentospread.Bytes(grants * m.at("Elector", "B/grant", grants)),
		Messages:  PerSecond(share * m.at("NonIdempotentRequest", "messages/request", hosts)),
		Traffic:   onWire(share*m.at("NonIdempotentRequest", "B/request", hosts), share*m.at("NonIdempotentRequest", "messages/request", hosts)),
		CPU:       core(share * perRequest),
		Mechanism: "two of three electors by rank over the roster",
		Slopes:    []Benchmark{"NonIdempotentRequest", "Elector"},
	}
}

func (m *Model) control() Role {
	hosts := float64(m.Cell.Hosts)
	packed := m.at("ReleaseTargets", "packed-B", m.Cell.Targets)
	return Role{
		Name: "Control duty", When: Always,
		State:     "roster, peers, health, release",
		Memory:    pimentospread.Bytes(m.at("CellQuiet", "B/host", hosts) + packed + 4*m.at("ReleaseTargets", "json-B", m.Cell.Targets)),
		Messages:  PerSecond(m.at("CellQuiet", "messages/host-s", hosts)),
		Traffic:   onWire(m.at("CellQuiet", "B/host-s", hosts), m.at("CellQuiet", "messages/host-s", hosts)),
		CPU:       core(m.at("CellQuiet", "cell-cpu-ns/host-s", hosts) + m.at("CellQuiet", "codec-cpu-ns/host-s", hosts)),
		Mechanism: "heartbeat to each peer of the cell each 500 ms",
		Slopes:    []Benchmark{"CellQuiet"},
	}
}

// controlDomainDown is what comes on top when the targets of a failure domain are flagged.
func (m *Model) controlDomainDown() Role {
	more := func(unit Metric) float64 {
		return m.at("CellFlagged", unit, m.downInDomain()) - m.at("CellFlagged", unit, 0)
	}
	return Role{
		Name: "Control duty", When: DomainDown,
		State:     "flagged targets, acknowledgements of up to 15 reporters",
		Traffic:   pimentospread.BytesPerSecond(max(0, more("B/host-s"))),
		CPU:       core(max(0, more("cell-cpu-ns/host-s")+more("codec-cpu-ns/host-s"))),
		Mechanism: "down targets and acknowledgements in each heartbeat",
		Slopes:    []Benchmark{"CellFlagged"},
	}
}

func (m *Model) relay() Role {
	changes := float64(m.Cell.Changes.Rate())
	size := m.at("ReleaseTargets", "json-B", m.Cell.Targets)
	return Role{
		Name: "Relay", When: Always,
		State:     "two waiting watches, last release",
		Memory:    pimentospread.Bytes(2 * size),
		Messages:  PerSecond(float64(m.Design.WatchesPerRelay)/m.Design.WatchTimeout.Seconds() + changes),
		Traffic:   pimentospread.BytesPerSecond(changes * size),
		CPU:       core(changes * m.at("ReleaseTargets", "pack-cpu-ns", m.Cell.Targets)),
		Mechanism: "two hosts in each failure domain of a cell watch the platform",
		Slopes:    []Benchmark{"ReleaseTargets", "PlatformCalls"},
	}
}

func (m *Model) prober() Role {
	probes := m.at("CellQuiet", "probes/host-s", float64(m.Cell.Hosts))
	return Role{
		Name: "Prober", When: Always,
		State:     "one kept connection for each probed target",
		Messages:  PerSecond(2 * probes),
		Traffic:   pimentospread.BytesPerSecond(probes * (m.at("Probe", "B/probe", probes) + probeHeaders)),
		CPU:       core(probes * m.at("Probe", "cpu-ns/probe", probes)),
		Mechanism: "each target is probed by two hosts each second",
		Slopes:    []Benchmark{"Probe", "CellQuiet"},
	}
}

func (m *Model) publisher() Role {
	changes := float64(m.Cell.Changes.Rate())
	targets, callers := m.Cell.Targets, float64(m.Assumptions.CallersPerService)
	report := m.at("BurnCallers", "B/service", callers)
	return Role{
		Name: "Publisher and administration", When: Always,
		State:     "burn counts of 1,000 callers for each service (assumed)",
		Memory:    pimentospread.Bytes(m.Cell.Addresses * report),
		Messages:  PerSecond(3 * changes),
		Traffic:   pimentospread.BytesPerSecond(3 * changes * m.at("ReleaseTargets", "json-B", targets)),
		CPU:       core(changes * (m.at("ReleaseTargets", "next-cpu-ns", targets) + m.at("ReleaseTargets", "decode-cpu-ns", targets))),
		Mechanism: "any host publishes: one read, an archive write, a conditional write",
		Slopes:    []Benchmark{"ReleaseTargets", "BurnCallers", "BurnHosts"},
	}
}

func (m *Model) network() Role {
	messages := m.at("CellQuiet", "messages/host-s", float64(m.Cell.Hosts))
	return Role{
		Name: "Peers network", When: Always,
		State:     "two connections for each peer",
		Memory:    pimentospread.Bytes(2 * m.peers() * m.at("PeerNetwork", "B/connection", m.peers())),
		CPU:       core(messages * m.at("PeerNetwork", "cpu-ns/message", m.peers())),
		Mechanism: "encoding and system calls of the heartbeats at both ends; their bytes are in the control duty",
		Slopes:    []Benchmark{"PeerNetwork"},
	}
}

// Total adds up the costs of a condition and of what always runs.
func (m *Model) Total(when Condition) Role {
	t := Role{Name: "Sum", When: when}
	for _, r := range m.Roles() {
		if r.When != Always && r.When != when {
			continue
		}
		t.Memory += r.Memory
		t.Messages += r.Messages
		t.Traffic += r.Traffic
		t.CPU += r.CPU
	}
	return t
}
