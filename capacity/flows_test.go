package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/pool"
	"pimentospread/release"
)

// flowCell is a cell with one flow shard for each host. Messages between the hosts
// are delivered without delay.
type flowCell struct {
	now       time.Time
	hosts     []*dataplane.FlowShard
	transport *transport
	cpuTime   cpuMeter
	random    *rand.Rand
}

func newFlowCell(r *release.Release, n int) *flowCell {
	c := &flowCell{now: startTime, transport: newTransport(), random: rand.New(rand.NewPCG(1, 1))}
	for range n {
		c.hosts = append(c.hosts, dataplane.NewFlowShard(dataplane.FlowShardConfig{ShardCount: 1, MaxFlows: 1 << 22, MaxHeldPackets: 1 << 20}))
	}
	c.configure(r)
	// A new shard treats every bucket as changed for one second.
	c.advance(3 * time.Second)
	return c
}

func (c *flowCell) configure(r *release.Release) {
	shared := newView(r, 0, len(c.hosts))
	for i := range c.hosts {
		v := *shared
		v.Self, v.Incarnation = hostID(i), incarnation(i)
		c.apply(i, func(f *dataplane.FlowShard, a *dataplane.FlowActions) { f.Configure(c.now, &v, a) })
	}
}

// apply applies an operation to a host and delivers the resulting messages.
func (c *flowCell) apply(i int, operation func(*dataplane.FlowShard, *dataplane.FlowActions)) {
	var a dataplane.FlowActions
	c.cpuTime.start()
	operation(c.hosts[i], &a)
	c.cpuTime.stop()
	for _, m := range a.PeerMessages {
		var to int
		if _, err := fmt.Sscanf(string(m.To), "host-%d", &to); err != nil {
			panic(err)
		}
		in := c.transport.deliver(hostID(i), incarnation(i), m.Message)
		c.apply(to, func(f *dataplane.FlowShard, b *dataplane.FlowActions) { f.HandlePeerMessage(c.now, in, b) })
	}
}

// advance moves the time forward in ticks of the shards.
func (c *flowCell) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(50 * time.Millisecond)
		for i := range c.hosts {
			c.apply(i, func(f *dataplane.FlowShard, a *dataplane.FlowActions) { f.Tick(c.now, a) })
		}
	}
}

func packet(r *release.Release, id pimentospread.FlowID, syn bool) flow.Packet {
	s := r.Set.Services[0]
	return flow.Packet{
		ID: id, Service: s.ID, SYN: syn,
		Key: pimentospread.FlowKey{Caller: address(1, 40000), Service: s.Addresses[0]},
	}
}

func (c *flowCell) packet(r *release.Release, host int, id pimentospread.FlowID, syn bool) {
	p := packet(r, id, syn)
	c.apply(host, func(f *dataplane.FlowShard, a *dataplane.FlowActions) { f.HandlePacket(c.now, p, []byte{0}, a) })
}

func flowIDs(n int) []pimentospread.FlowID {
	random := rand.New(rand.NewPCG(2, 2))
	ids := make([]pimentospread.FlowID, n)
	for i := range ids {
		ids[i] = pimentospread.FlowID(random.Uint64())
	}
	return ids
}

// shardWithFlows returns a shard whose flow table holds the flows.
func shardWithFlows(r *release.Release, ids []pimentospread.FlowID) *dataplane.FlowShard {
	f := newFlowCell(r, 1).hosts[0]
	var a dataplane.FlowActions
	for _, id := range ids {
		f.HandlePacket(startTime.Add(3*time.Second), packet(r, id, true), []byte{0}, &a)
		a.Clear()
	}
	return f
}

var flowSizes = []int{10_000, 100_000, 1_000_000}

// BenchmarkFlowMemory reports the memory of a flow in the flow table.
func BenchmarkFlowMemory(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			ids := flowIDs(n)
			runOnce(b, func() { reportMemory(b, "B/flow", n, func() any { return shardWithFlows(r, ids) }) })
		})
	}
}

// BenchmarkRecordMemory reports the memory of a record at its holder.
func BenchmarkRecordMemory(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	target := r.Set.TargetPools[0].Targets[0].ID
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			ids := flowIDs(n)
			runOnce(b, func() {
				reportMemory(b, "B/record", n, func() any {
					f := newFlowCell(r, 1).hosts[0]
					var a dataplane.FlowActions
					for _, id := range ids {
						put := &flow.RecordPut{Records: flow.Records{{Flow: id, Service: r.Set.Services[0].ID, Target: target}}}
						f.HandlePeerMessage(startTime.Add(3*time.Second), pimentospread.Inbound{From: hostID(1), Incarnation: 1, Message: put}, &a)
						a.Clear()
					}
					return f
				})
			})
		})
	}
}

// BenchmarkFlowDecision reports the CPU time of a packet of a known flow and of a
// packet of a new flow without a record.
func BenchmarkFlowDecision(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			ids := flowIDs(n + n/4)
			f := shardWithFlows(r, ids[:n])
			var a dataplane.FlowActions
			at := startTime.Add(3 * time.Second)
			runOnce(b, func() {
				var knownTime, newTime cpuMeter
				const packets = 1_000_000
				knownTime.start()
				for i := range packets {
					f.HandlePacket(at, packet(r, ids[(i*7919)%n], false), nil, &a)
					a.Clear()
				}
				knownTime.stop()
				knownTime.report(b, "known-cpu-ns", packets)
				newTime.start()
				for _, id := range ids[n:] {
					f.HandlePacket(at, packet(r, id, true), nil, &a)
					a.Clear()
				}
				newTime.stop()
				newTime.report(b, "new-cpu-ns", n/4)
			})
		})
	}
}

// BenchmarkFlowTick reports the CPU time of the periodic work of a shard.
func BenchmarkFlowTick(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			f := shardWithFlows(r, flowIDs(n))
			at := startTime.Add(3 * time.Second)
			runOnce(b, func() {
				reportCPUTime(b, "cpu-ns/s", func() {
					var a dataplane.FlowActions
					for range 20 {
						at = at.Add(50 * time.Millisecond)
						f.Tick(at, &a)
					}
				})
			})
		})
	}
}

// BenchmarkRecordedFlow reports the CPU time of the whole cell for a new flow in a
// changed bucket, which requires a record, and for a packet of such a flow on a
// host that does not know it.
func BenchmarkRecordedFlow(b *testing.B) {
	first := nextRelease(nil, newObjects(1, 1, 14))
	set := first.SourceSet()
	set.TargetPools[0].Targets[0].State = pool.Draining
	second := nextRelease(first, set)
	table := serviceViews(second)[second.Set.Services[0].ID].Table
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				c := newFlowCell(first, n)
				c.configure(second)
				c.advance(time.Second)
				count := 0
				var recordTime, queryTime cpuMeter
				for _, id := range flowIDs(280_000) {
					if lookup := table.Lookup(id); lookup.Current == lookup.Default {
						continue
					}
					count++
					// The CPU time includes the ticks after each batch of 2,000 flows.
					before := c.cpuTime.total
					c.packet(second, count%n, id, true)
					recordTime.total += c.cpuTime.total - before
					if count%2000 == 0 {
						before = c.cpuTime.total
						c.advance(200 * time.Millisecond)
						recordTime.total += c.cpuTime.total - before
					}
				}
				recordTime.report(b, "record-cpu-ns", count)
				queried := 0
				for _, id := range flowIDs(280_000) {
					if lookup := table.Lookup(id); lookup.Current == lookup.Default {
						continue
					}
					queried++
					before := c.cpuTime.total
					c.packet(second, (queried+n/2)%n, id, false)
					queryTime.total += c.cpuTime.total - before
					if queried%2000 == 0 {
						before = c.cpuTime.total
						c.advance(200 * time.Millisecond)
						queryTime.total += c.cpuTime.total - before
					}
				}
				queryTime.report(b, "unknown-cpu-ns", queried)
			})
		})
	}
}

// BenchmarkDrain reports the control traffic of a host while one of 14 targets
// drains and the fabric sends all packets of a flow to one host.
func BenchmarkDrain(b *testing.B) { benchmarkDrain(b, 1) }

// BenchmarkDrainSpray is BenchmarkDrain with a fabric that spreads the packets of a
// flow over all hosts.
func BenchmarkDrainSpray(b *testing.B) { benchmarkDrain(b, 16) }

func benchmarkDrain(b *testing.B, spread int) {
	const n, seconds = 16, 10
	first := nextRelease(nil, newObjects(1, 1, 14))
	set := first.SourceSet()
	set.TargetPools[0].Targets[0].State = pool.Draining
	second := nextRelease(first, set)
	for _, rate := range []int{200, 800, 1700} {
		b.Run(fmt.Sprintf("newflows=%d", rate), func(b *testing.B) {
			runOnce(b, func() {
				c := newFlowCell(first, n)
				c.configure(second)
				c.advance(time.Second)
				c.transport, c.cpuTime = newTransport(), cpuMeter{}
				for step := range seconds * 20 {
					for range rate*(step+1)/20 - rate*step/20 {
						id, at := pimentospread.FlowID(c.random.Uint64()), c.random.IntN(n)
						c.packet(second, at, id, true)
						for k := range spread {
							c.packet(second, (at+k)%n, id, false)
						}
					}
					c.advance(50 * time.Millisecond)
				}
				b.ReportMetric(float64(c.transport.bytes)/n/seconds, "B/host-s")
				b.ReportMetric(float64(c.transport.messages)/n/seconds, "messages/host-s")
				b.ReportMetric(float64((c.cpuTime.total+c.transport.codecTime.total).Nanoseconds())/n/seconds, "cpu-ns/host-s")
			})
		})
	}
}
