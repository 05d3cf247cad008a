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

// flowCell is a cell of flow shards, one for each host, that deliver their
// messages to each other without delay.
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
	// A new shard treats every bucket as changed for its first second.
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

// apply lets a host apply and delivers what it and the others send for it.
func (c *flowCell) apply(i int, act func(*dataplane.FlowShard, *dataplane.FlowActions)) {
	var a dataplane.FlowActions
	c.cpuTime.start()
	act(c.hosts[i], &a)
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

// advance lets time go by in the ticks of the shards.
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

// shardWithFlows returns a shard that knows the flows.
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

func BenchmarkFlowMemory(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			ids := flowIDs(n)
			runOnce(b, func() { reportMemory(b, "B/flow", n, func() any { return shardWithFlows(r, ids) }) })
		})
	}
}

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

// BenchmarkFlowDecision gives the processor time of a packet of a known flow and of a new flow without a record.
func BenchmarkFlowDecision(b *testing.B) {
	r := nextRelease(nil, newObjects(1, 1, 14))
	for _, n := range flowSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			ids := flowIDs(n + n/4)
			f := shardWithFlows(r, ids[:n])
			var a dataplane.FlowActions
			at := startTime.Add(3 * time.Second)
			runOnce(b, func() {
				var known, fresh cpuMeter
				const packets = 1_000_000
				known.start()
				for i := range packets {
					f.HandlePacket(at, packet(r, ids[(i*7919)%n], false), nil, &a)
					a.Clear()
				}
				known.stop()
				known.report(b, "known-cpu-ns", packets)
				fresh.start()
				for _, id := range ids[n:] {
					f.HandlePacket(at, packet(r, id, true), nil, &a)
					a.Clear()
				}
				fresh.stop()
				fresh.report(b, "new-cpu-ns", n/4)
			})
		})
	}
}

// BenchmarkFlowTick gives the processor time of the work of a shard that no packet causes.
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

// BenchmarkRecordedFlow gives what the whole cell spends on a new flow in a
// changed bucket that needs a record, and on a packet of it at a host that does not know it.
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
				var put, ask cpuMeter
				for _, id := range flowIDs(280_000) {
					if x := table.Lookup(id); x.Current == x.Default {
						continue
					}
					count++
					// The first and the last step of a batch are counted with it.
					before := c.cpuTime.total
					c.packet(second, count%n, id, true)
					put.total += c.cpuTime.total - before
					if count%2000 == 0 {
						before = c.cpuTime.total
						c.advance(200 * time.Millisecond)
						put.total += c.cpuTime.total - before
					}
				}
				put.report(b, "record-cpu-ns", count)
				asked := 0
				for _, id := range flowIDs(280_000) {
					if x := table.Lookup(id); x.Current == x.Default {
						continue
					}
					asked++
					before := c.cpuTime.total
					c.packet(second, (asked+n/2)%n, id, false)
					ask.total += c.cpuTime.total - before
					if asked%2000 == 0 {
						before = c.cpuTime.total
						c.advance(200 * time.Millisecond)
						ask.total += c.cpuTime.total - before
					}
				}
				ask.report(b, "unknown-cpu-ns", asked)
			})
		})
	}
}

// BenchmarkDrain gives the control traffic of a host while one of 14 targets
// drains and the fabric keeps all packets of a flow at one host.
func BenchmarkDrain(b *testing.B) { benchmarkDrain(b, 1) }

// BenchmarkDrainSpray is BenchmarkDrain under a fabric that spreads the packets of a flow over all hosts.
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
