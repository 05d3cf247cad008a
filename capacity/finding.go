package capacity

import (
	"fmt"
	"math"
	"time"
)

// Unit is the unit of a finding.
type Unit string

// Units of findings.
const (
	UnitSeconds        Unit = "s"
	UnitBytes          Unit = "B"
	UnitBytesPerSecond Unit = "B/s"
	UnitPerSecond      Unit = "/s"
	UnitPerDay         Unit = "/day"
	UnitCount          Unit = ""
	UnitCorePercent    Unit = "% of a core"
	// percentPerCore converts a share of a core to UnitCorePercent.
	percentPerCore = 100
)

// Finding is a calculated value with its limit, if it has one.
type Finding struct {
	Subject string
	Value   float64
	Unit    Unit
	// Limit is the highest acceptable value, or zero if the value has no limit.
	Limit float64
	// Derivation describes how the value is calculated.
	Derivation string
}

// WithinLimit reports whether the value does not exceed its limit.
func (f Finding) WithinLimit() bool { return f.Limit == 0 || f.Value <= f.Limit }

// Verdict returns "fits" for a value within its limit and the factor by which the
// value exceeds it otherwise. It is empty if there is no limit.
func (f Finding) Verdict() string {
	switch {
	case f.Limit == 0:
		return ""
	case f.WithinLimit():
		return "fits"
	default:
		return fmt.Sprintf("**%s x**", formatNumber(f.Value/f.Limit))
	}
}

// formatNumber formats a number with about three significant digits.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e9:
		return formatNumber(v/1e9) + " G"
	case a >= 1e6:
		return formatNumber(v/1e6) + " M"
	case a >= 1e4:
		return formatNumber(v/1e3) + " k"
	case a >= 100 || a == math.Trunc(a):
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.01:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.4f", v)
	}
}

// Events returns the costs of failures, restarts and partitions to a cell or the fleet.
func (m *Model) Events() []Finding {
	return append(m.hostFailureFindings(), m.outageFindings()...)
}

func (m *Model) hostFailureFindings() []Finding {
	c, d := m.Cell, m.Design
	membershipChanges := float64(c.Failures) + 2*float64(c.Restarts)
	interval := day.Seconds() / membershipChanges
	records := m.recordsPerHost()
	onePool, _ := m.tableBuildTimes()
	// After a change, each record is sent to the other holder and each flow in a changed
	// bucket to both holders. A leaving host sends each record to both holders too.
	displaced := c.Flows * float64(d.DrainedShare) * float64(d.HoldersPerRecord)
	repair := (records*float64(d.HoldersPerRecord-1) + displaced) * float64(d.RecordWireSize) / (float64(d.AnnounceRate) * float64(d.FlowShards))
	handover := (records*float64(d.HoldersPerRecord) + displaced) * float64(d.RecordWireSize) / (float64(d.HandoverRate) * float64(d.FlowShards))
	return []Finding{
		{"Host failures of a cell", float64(c.Failures), UnitPerDay, 0, "470 a day divided by the cells"},
		{"Restarts of a cell", float64(c.Restarts), UnitPerDay, 0, "52,000 a day divided by the cells"},
		{"Time between two changes of a cell's live hosts", interval, UnitSeconds, 0, "a restart is a leave and a join, a failure one change"},
		{"Time without heartbeats until peers treat a host as dead", d.DeadAfter.Seconds(), UnitSeconds, 5, "member.DeadAfter; section 1 allows 5 s for new work"},
		{"Traffic of a join in the whole cell", m.valueAt("CellJoin", "B/join", c.Targets), UnitBytes, 0, "CellJoin: the release comes from the platform, queries and replies carry no content"},
		{"Time from start to ready, without building tables", m.valueAt("CellJoin", "ready-ms", c.Targets) / 1000, UnitSeconds, 0, "CellJoin, fake clock"},
		{"Time from start to ready, with the tables of one pool of 160 targets and 32 epochs", m.valueAt("CellJoin", "ready-ms", c.Targets)/1000 + onePool, UnitSeconds, 0, "the previous value plus step 5b of section 6"},
		{"Records of a host, 1 of 14 targets drained for 2 h 25 min", records, UnitCount, 0, "new flows x 1/14 x 2 holders x lifetime / hosts; a record is not deleted when its flow ends"},
		{"Time to repair the records after one change of the live hosts", repair, UnitSeconds, interval, "each record is sent to the other holder and each flow of a changed bucket to both, 14 B each at 2 KB/s for each of 2 shards; the limit is the next change"},
		{"Repair traffic of a host", float64(d.AnnounceRate) * float64(d.FlowShards), UnitBytesPerSecond, float64(m.Limits.Traffic), "2 KB/s for each shard during the repair"},
		{"Time to hand over the records of a leaving host", handover, UnitSeconds, d.ShutdownGrace.Seconds(), "each record and each flow of a changed bucket is sent to two holders, 32 KB/s for each of 2 shards; the limit is ShutdownGrace"},
		{"Handover traffic of a leaving host", float64(d.HandoverRate) * float64(d.FlowShards), UnitBytesPerSecond, float64(m.Limits.Traffic), "at most 30 s, 64 times a day in a cell"},
		{"Records lost when one host or one rack in a failure domain fails", 0, UnitCount, 0, "the two holders are in different failure domains"},
	}
}

func (m *Model) outageFindings() []Finding {
	c, d, l := m.Cell, m.Design, m.Limits
	domainHosts := float64(m.Size.Hosts) / float64(m.Size.FailureDomains)
	reads := float64(m.waitingWatches()) / d.WatchTimeout.Seconds()
	freeReads := float64(l.Reads) - reads
	releaseSize := m.valueAt("ReleaseTargets", "json-B", c.Targets)
	regionCells := float64(c.Cells) / float64(m.Size.Regions)
	rackHosts := float64(m.Assumptions.HostsPerRack)
	return []Finding{
		{"Lowest number of cells with hosts in a rack of 40 hosts (assumed)", rackHosts * float64(c.FailureDomains) / float64(c.Hosts), UnitCount, 0, "the hosts of a cell in one failure domain share a rack"},
		{"Hosts of a failed failure domain", domainHosts, UnitCount, 0, "hosts / 27"},
		{"Cells that lose a third of their hosts in this failure", regionCells, UnitCount, 0, "cells of one region"},
		{"Control traffic of a host while the targets of a domain are down", float64(m.Total(FailureDomainDown).Traffic), UnitBytesPerSecond, float64(l.Traffic), "sum of the roles"},
		{"Reads when the hosts of a failure domain start at once", domainHosts * float64(d.ReadsPerStart), UnitCount, 0, "two for each start (CellJoin)"},
		{"Time for these reads", domainHosts * float64(d.ReadsPerStart) / freeReads, UnitSeconds, 0, "at 2,000 a second less the calls of the watches"},
		{"Time for the reads when all hosts start at once", float64(m.Size.Hosts) * float64(d.ReadsPerStart) / freeReads, UnitSeconds, l.ActivationTime.Seconds(), "the same calculation with 13,000 hosts"},
		{"Calls while the platform refuses all watches", float64(m.waitingWatches()) / d.MaxRetryDelay.Seconds(), UnitPerSecond, float64(l.Reads), "each watch is retried after 3 s"},
		{"Releases that a region misses during a partition of one hour", regionCells * float64(c.Changes) / 24, UnitCount, 0, "changes of its cells"},
		{"Bytes that the relays of the region read after the partition", regionCells * float64(c.FailureDomains*d.RelaysPerFailureDomain) * releaseSize, UnitBytes, 0, "only the newest release of each cell, once for each relay"},
		{"Peer messages added by the partition", 0, UnitCount, 0, "a cell lies in one region, so its hosts stay connected to each other"},
	}
}

// ChangeSteps returns the durations of the steps until a change is in force.
func (m *Model) ChangeSteps() []Finding {
	c, d := m.Cell, m.Design
	seconds := func(nanoseconds float64) float64 { return nanoseconds / float64(time.Second) }
	publish := seconds(m.valueAt("ReleaseTargets", "next-cpu-ns", c.Targets) + 2*m.valueAt("ReleaseTargets", "decode-cpu-ns", c.Targets))
	pack := seconds(m.valueAt("ReleaseTargets", "pack-cpu-ns", c.Targets))
	unpack := seconds(m.valueAt("ReleaseTargets", "unpack-cpu-ns", c.Targets))
	activationTime := m.valueAt("CellChange", "active-ms", float64(c.Hosts)) / 1000
	onePool, manyPools := m.tableBuildTimes()
	steps := publish + pack + unpack + activationTime
	return []Finding{
		{"Changes of a cell", float64(c.Changes), UnitPerDay, 0, "65,000 a day divided by the cells"},
		{"Epochs of a pool that every change touches", float64(d.MaxEpochs), UnitCount, 0, "ended epochs are kept until there are more than 32"},
		{"1 Publish: read, check, write twice", publish, UnitSeconds, 0, "processor time; the platform responds in milliseconds (not measured)"},
		{"2 Relay: decode and pack", pack, UnitSeconds, 0, "the watch returns immediately"},
		{"3 Other hosts: fetch and unpack", unpack, UnitSeconds, 0, "processor time"},
		{"4 Heartbeats until all hosts are prepared and active", activationTime, UnitSeconds, 0, "CellChange, fake clock, 500 ms between heartbeats"},
		{"5a Build tables, one pool of 8 targets for each address", manyPools, UnitSeconds, 0, "TableTargets x 21 pools x 32 epochs, which each pool reaches within days"},
		{"5b Build tables, one pool of 160 targets with 32 epochs", onePool, UnitSeconds, 0, "TableEpochs; one otherwise idle core"},
		{"In force, one pool for each address", steps + manyPools, UnitSeconds, m.Limits.ActivationTime.Seconds(), "steps 1 to 4 and 5a"},
		{"In force, one pool of 160 targets", steps + onePool, UnitSeconds, m.Limits.ActivationTime.Seconds(), "steps 1 to 4 and 5b"},
		{"Processor time for tables, one pool of 160 targets", percentPerCore * onePool * float64(c.Changes.Rate()), UnitCorePercent, percentPerCore * float64(m.Limits.CPU), "5b x changes a day, average over the day"},
	}
}

// tableBuildTimes returns the CPU time to build the tables of a cell whose pools
// have the highest number of epochs: with one pool, and with one pool for each
// address.
func (m *Model) tableBuildTimes() (onePool, manyPools float64) {
	epochs := float64(m.Design.MaxEpochs)
	onePool = m.valueAt("TableEpochs", "cpu-ns/table", epochs) / 1e9
	manyPools = m.valueAt("TableTargets", "cpu-ns/table", m.targetsPerPool()) / 1e9 * m.Cell.Addresses * epochs
	return onePool, manyPools
}

// waitingWatches returns the number of watches of the whole fleet that are open at
// the same time.
func (m *Model) waitingWatches() int {
	return m.Cell.Cells * m.Cell.FailureDomains * m.Design.RelaysPerFailureDomain * m.Design.WatchesPerRelay
}

// PlatformCalls returns the calls of the whole fleet to the platform.
func (m *Model) PlatformCalls() []Finding {
	d, l := m.Design, m.Limits
	relays := float64(m.Cell.FailureDomains * d.RelaysPerFailureDomain)
	timedOutWatches := float64(m.waitingWatches()) / d.WatchTimeout.Seconds()
	releaseWatches := float64(m.Size.Changes.Rate()) * relays
	// A restart changes the roster twice, when the host leaves and when it returns. A
	// failure changes it once.
	rosterWatches := (2*float64(m.Size.Restarts.Rate()) + float64(m.Size.HostFailures.Rate())) * relays
	starts := float64(m.Size.Restarts.Rate()) * float64(d.ReadsPerStart)
	publishing := float64(m.Size.Changes.Rate())
	calls := m.valueAt("PlatformCalls", "calls/domain-min", float64(m.Cell.Hosts)/float64(m.Cell.FailureDomains))
	return []Finding{
		{"Calls a minute of a failure domain of a cell", calls, UnitCount, 0, "PlatformCalls: 2 relays x 2 watches x 2 a minute; the page says 4"},
		{"Open watches", float64(m.waitingWatches()), UnitCount, 0, "cells x 3 failure domains x 2 relays x 2 objects"},
		{"Reads: watches that return without a change", timedOutWatches, UnitPerSecond, 0, "each returns after 30 s"},
		{"Reads: watches that return a release", releaseWatches, UnitPerSecond, 0, "changes x relays of the cell"},
		{"Reads: watches that return a roster", rosterWatches, UnitPerSecond, 0, "two rosters for a restart, one for a failure"},
		{"Reads: starting hosts", starts, UnitPerSecond, 0, "two for each start"},
		{"Reads: publishers", publishing, UnitPerSecond, 0, "one for each change"},
		{"Total reads", timedOutWatches + releaseWatches + rosterWatches + starts + publishing, UnitPerSecond, float64(l.Reads), "sum"},
		{"Writes: publishers", 2 * publishing, UnitPerSecond, float64(l.Writes), "archive and release; the rosters are the platform's own"},
		{"Writes when a tenth of a day's changes are published in 10 minutes", 2 * float64(m.Size.Changes) / 10 / 600, UnitPerSecond, float64(l.Writes), "assumed peak"},
		{"Reads if every host watched", float64(m.Size.Hosts*d.WatchesPerRelay) / d.WatchTimeout.Seconds(), UnitPerSecond, float64(l.Reads), "without relays"},
	}
}

// ScalingLimits returns the loads that exceed the limits with the current design, and
// the sizes up to which it scales.
func (m *Model) ScalingLimits() []Finding {
	c, l := m.Cell, m.Limits
	traffic, reads := float64(l.Traffic), float64(l.Reads)
	bytesPerTarget := m.increasePerUnit("ReleaseTargets", "json-B")
	trafficPerHost := m.increasePerUnit("CellQuiet", "B/host-s")
	onePool, _ := m.tableBuildTimes()
	buildTimePerEpoch := onePool / float64(m.Design.MaxEpochs)
	activationTime := m.valueAt("CellChange", "active-ms", float64(c.Hosts)) / 1000
	smallTable := m.valueAt("TableTargets", "B/table", 8)
	epochs := (float64(l.MaxValueSize) - m.valueAt("ReleaseEpochs", "json-B", 1)) / max(m.increasePerUnit("ReleaseEpochs", "json-B"), 1)
	return []Finding{
		{"Control traffic of a quiet host", float64(m.Total(Always).Traffic), UnitBytesPerSecond, traffic, "sum of the roles, probes in both directions, messages sent"},
		{"Control traffic of a quiet host without the headers of TCP and IP", float64(m.Total(Always).Traffic) - m.quietHeaderTraffic(), UnitBytesPerSecond, traffic, "size of the messages alone"},
		{"Control traffic with 100 claims a second of the cell (assumed)", float64(m.Total(Claims).Traffic), UnitBytesPerSecond, traffic, "sum of the roles"},
		{"Control traffic in a drain, flow at one host", float64(m.Total(Drain).Traffic), UnitBytesPerSecond, traffic, "sum of the roles"},
		{"Control traffic in a drain, flow at all hosts", float64(m.Total(Spray).Traffic), UnitBytesPerSecond, traffic, "sum of the roles"},
		{"Control traffic, failure domain down", float64(m.Total(FailureDomainDown).Traffic), UnitBytesPerSecond, traffic, "sum of the roles"},
		{"Heartbeats if all 13,000 hosts were one cell", trafficPerHost * float64(m.Size.Hosts), UnitBytesPerSecond, traffic, "CellQuiet, per additional host"},
		{"Hosts of a cell at which the heartbeats alone take 11 KB/s", traffic / max(trafficPerHost, 1), UnitCount, 0, "the same; no target flagged, no headers"},
		{"One release for the whole fleet", bytesPerTarget * float64(m.Size.Targets), UnitBytes, float64(l.MaxValueSize), "ReleaseTargets, per additional target"},
		{"Targets at which a release has 1 MB", float64(l.MaxValueSize) / max(bytesPerTarget, 1), UnitCount, 0, "the same, one epoch"},
		{"Epochs at which a release of 160 targets in one pool has 1 MB", epochs, UnitCount, 0, "ReleaseEpochs, per additional epoch"},
		{"Tables for 17,000 addresses on one host", float64(m.Size.Addresses) * smallTable, UnitBytes, float64(l.Memory), "TableTargets, a pool of 8 targets for each address"},
		{"Time to build these tables", float64(m.Size.Addresses) * m.valueAt("TableTargets", "cpu-ns/table", 8) / 1e9, UnitSeconds, l.ActivationTime.Seconds(), "the same"},
		{"Epochs of a pool of 160 targets that can be built in time", (l.ActivationTime.Seconds() - activationTime) / max(buildTimePerEpoch, 1e-9), UnitCount, 0, "10 s less the time of the heartbeats, divided by the time for one epoch"},
		{"Build after a rolling restart of 160 targets within 2 h 15 min", buildTimePerEpoch * 2 * c.Targets, UnitSeconds, l.ActivationTime.Seconds(), "a drain and a return make two epochs each, none of which may be dropped"},
		{"Calls while the platform refuses all watches", float64(m.waitingWatches()) / m.Design.MaxRetryDelay.Seconds(), UnitPerSecond, reads, "see the events"},
		{"Non-idempotent requests a second of a cell at 11 KB/s for each host", m.claimCapacity(traffic), UnitCount, 0, "NonIdempotentRequest, without other traffic"},
		{"The same within the traffic that a quiet host leaves unused", m.claimCapacity(traffic - float64(m.Total(Always).Traffic)), UnitCount, 0, "11 KB/s less the sum of the roles, not below zero"},
		{"Burn report of a host, 1,000 callers for each of 21 services (assumed)", c.Addresses * m.valueAt("BurnCallers", "report-B", 1000), UnitBytes, 0, "BurnCallers"},
	}
}

// quietHeaderTraffic returns the traffic of the headers of heartbeats and probes on
// a quiet host.
func (m *Model) quietHeaderTraffic() float64 {
	hosts := float64(m.Cell.Hosts)
	return messageHeaders*m.valueAt("CellQuiet", "messages/host-s", hosts) + probeHeaders*m.valueAt("CellQuiet", "probes/host-s", hosts)
}

// claimCapacity returns the rate of claims of a cell at which each host has the
// given traffic.
func (m *Model) claimCapacity(traffic float64) float64 {
	hosts := float64(m.Cell.Hosts)
	trafficPerClaim := float64(addHeaders(m.valueAt("NonIdempotentRequest", "B/request", hosts), m.valueAt("NonIdempotentRequest", "messages/request", hosts)))
	return max(0, traffic) * hosts / max(trafficPerClaim, 1)
}

// limitFindings returns the costs of a role with the limits of a host.
func (m *Model) limitFindings(r Role) []Finding {
	return []Finding{
		{string(r.When) + ": processor time", percentPerCore * float64(r.CPU), UnitCorePercent, percentPerCore * float64(m.Limits.CPU), ""},
		{string(r.When) + ": memory", float64(r.Memory), UnitBytes, float64(m.Limits.Memory), ""},
		{string(r.When) + ": traffic", float64(r.Traffic), UnitBytesPerSecond, float64(m.Limits.Traffic), ""},
	}
}
