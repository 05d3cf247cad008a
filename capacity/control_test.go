package capacity_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/release"
)

// workers is one flow shard, the requests duty and the report duty.
const workers = 3

// controlHost is a control cell with what the duties around it would do.
type controlHost struct {
	host        member.Host
	cell        *controlplane.Cell
	incarnation pimentospread.Incarnation
	watching    bool
	view        *dataplane.View
	events      []controlplane.Event
}

// controlCell is a cell of hosts that deliver their messages without delay.
type controlCell struct {
	now           time.Time
	hosts         []*controlHost
	packedRelease *controlplane.PackedRelease
	// tables has the tables of each generation and its base, which are the same at every host.
	tables      map[string]map[pimentospread.ServiceID]*dataplane.ServiceView
	downTargets map[pimentospread.TargetID]bool
	transport   *transport
	cellTime    cpuMeter
	reads       int
	probes      int
}

func packedRelease(r *release.Release) *controlplane.PackedRelease {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	c, err := controlplane.Pack(data, release.Decode)
	if err != nil {
		panic(err)
	}
	return c
}

func newControlCell(r *release.Release, n int) *controlCell {
	c := &controlCell{
		now: startTime, packedRelease: packedRelease(r), downTargets: map[pimentospread.TargetID]bool{}, transport: newTransport(),
		tables: map[string]map[pimentospread.ServiceID]*dataplane.ServiceView{},
	}
	for i, h := range rosterHosts(n) {
		c.hosts = append(c.hosts, &controlHost{host: h})
		c.start(i)
	}
	c.advance(20 * time.Second)
	for _, h := range c.hosts {
		if !h.cell.Ready() {
			panic("host is not ready: " + string(h.host.ID))
		}
	}
	return c
}

// start begins a new run of a host.
func (c *controlCell) start(i int) {
	h := c.hosts[i]
	h.incarnation = incarnation(i) + pimentospread.Incarnation(c.now.Sub(startTime))
	h.watching, h.view, h.events = false, nil, nil
	h.cell = controlplane.NewCell(c.now, controlplane.Config{Self: h.host, Incarnation: h.incarnation, Workers: workers})
}

func (c *controlCell) roster() member.Roster {
	r := member.Roster{Version: 5}
	for _, h := range c.hosts {
		r.Hosts = append(r.Hosts, h.host)
	}
	return r
}

// handle gives a host an event and carries out its actions.
func (c *controlCell) handle(h *controlHost, e controlplane.Event) {
	c.cellTime.start()
	a := h.cell.Handle(c.now, e)
	c.cellTime.stop()
	for _, m := range a.Messages {
		in := c.transport.deliver(h.host.ID, h.incarnation, m.Message)
		i := slices.IndexFunc(c.hosts, func(o *controlHost) bool { return o.host.ID == m.To })
		if c.hosts[i].cell != nil {
			c.hosts[i].events = append(c.hosts[i].events, c.receivedEvent(in))
		}
	}
	if a.Build != nil {
		h.events = append(h.events, c.buildTables(a.Build))
	}
	if a.View != nil {
		h.view = a.View
		for d := range workers {
			h.events = append(h.events, controlplane.ViewLoaded{Worker: d, Sequence: a.View.Sequence, Prepared: a.View.Generation()})
		}
	}
	if a.ReadPlatform {
		c.reads += 2
		h.events = append(h.events, controlplane.ReleaseRead{Content: c.packedRelease}, controlplane.RosterRead{Roster: c.roster()}, controlplane.PlatformReadDone{Answered: true})
	}
	if a.Watch != nil {
		h.watching = a.Watch.On
	}
	c.probes += len(a.Probes)
	for _, t := range a.Probes {
		h.events = append(h.events, controlplane.TargetProbed{Target: t.ID, Answered: !c.downTargets[t.ID], Report: pimentospread.LoadReport{Healthy: true, At: c.now}})
	}
}

func (c *controlCell) receivedEvent(in pimentospread.Inbound) controlplane.Event {
	switch m := in.Message.(type) {
	case *member.Heartbeat:
		return controlplane.HeartbeatReceived{From: in.From, Incarnation: in.Incarnation, Heartbeat: *m}
	case *controlplane.ReleaseQuery:
		return controlplane.QueryReceived{From: in.From, Query: *m}
	case *controlplane.ReleaseReply:
		e := controlplane.ReplyReceived{From: in.From, Reply: *m}
		if len(m.Content) > 0 {
			e.Content = c.packedRelease
		}
		return e
	}
	panic("unexpected message " + string(in.Message.MessageKind()))
}

func (c *controlCell) buildTables(b *controlplane.TableBuild) controlplane.Event {
	key := fmt.Sprintf("%d after %d", b.Content.Release.Generation, b.Base)
	if c.tables[key] == nil {
		c.tables[key] = b.Run().Services
	}
	return controlplane.TablesBuilt{Content: b.Content, Base: b.Base, Services: c.tables[key]}
}

// handlePending lets the hosts handle all events that wait.
func (c *controlCell) handlePending() {
	for busy := true; busy; {
		busy = false
		for _, h := range c.hosts {
			for len(h.events) > 0 && h.cell != nil {
				e := h.events[0]
				h.events = h.events[1:]
				c.handle(h, e)
				busy = true
			}
		}
	}
}

// advance lets time go by in ticks that are spread evenly over the hosts.
func (c *controlCell) advance(d time.Duration) {
	step := member.HeartbeatInterval / time.Duration(len(c.hosts))
	for end := c.now.Add(d); c.now.Before(end); {
		for _, h := range c.hosts {
			c.now = c.now.Add(step)
			if h.cell != nil {
				c.handle(h, controlplane.Tick{})
			}
			c.handlePending()
		}
	}
}

// activate lets the relays read a new activate, and returns the time until every host sends new flows by it.
func (c *controlCell) activate(r *release.Release) time.Duration {
	c.packedRelease = packedRelease(r)
	published := c.now
	for _, h := range c.hosts {
		if h.watching {
			c.handle(h, controlplane.ReleaseRead{Content: c.packedRelease})
		}
	}
	c.handlePending()
	behind := func(h *controlHost) bool { return h.cell.ActiveGeneration() < r.Generation }
	for slices.ContainsFunc(c.hosts, behind) {
		c.advance(member.HeartbeatInterval)
	}
	return c.now.Sub(published)
}

// reportTraffic passes a minute and reports what the control duty of one host costs in a second.
func (c *controlCell) reportTraffic(b *testing.B) {
	const seconds = 60
	c.transport, c.cellTime, c.probes = newTransport(), cpuMeter{}, 0
	c.advance(seconds * time.Second)
	perHost := float64(len(c.hosts) * seconds)
	b.ReportMetric(float64(c.transport.bytes)/perHost, "B/host-s")
	b.ReportMetric(float64(c.transport.messages)/perHost, "messages/host-s")
	b.ReportMetric(float64(c.transport.bytes)/float64(c.transport.messages), "B/message")
	b.ReportMetric(float64(c.cellTime.total.Nanoseconds())/perHost, "cell-cpu-ns/host-s")
	b.ReportMetric(float64(c.transport.codecTime.total.Nanoseconds())/perHost, "codec-cpu-ns/host-s")
	b.ReportMetric(float64(c.probes)/perHost, "probes/host-s")
}

// BenchmarkCellQuiet also gives the memory of a host's control state. The
// hosts of the benchmark share the release and its tables.
func BenchmarkCellQuiet(b *testing.B) {
	r := nextRelease(nil, newObjects(21, 21, 160))
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				var c *controlCell
				reportMemory(b, "B/host", n, func() any {
					c = newControlCell(r, n)
					return c
				})
				c.reportTraffic(b)
				b.ReportMetric(float64(c.reads)/float64(n), "reads/start")
			})
		})
	}
}

// BenchmarkCellFlagged has 16 hosts and 160 targets, of which some do not answer probes.
func BenchmarkCellFlagged(b *testing.B) {
	r := nextRelease(nil, newObjects(21, 21, 160))
	for _, n := range []int{0, 10, 53, 140} {
		b.Run(fmt.Sprintf("down=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				c := newControlCell(r, 16)
				for _, p := range r.Set.TargetPools {
					for _, t := range p.Targets[1:] {
						if len(c.downTargets) < n {
							c.downTargets[t.ID] = true
						}
					}
				}
				c.advance(20 * time.Second)
				c.reportTraffic(b)
			})
		})
	}
}

// BenchmarkCellJoin gives the frames of the cell in the first 20 s of a host's
// new run beyond those of a quiet cell, and the time until it is ready.
func BenchmarkCellJoin(b *testing.B) {
	for _, n := range []int{40, 160, 640} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := nextRelease(nil, newObjects(21, 21, n))
			runOnce(b, func() {
				c := newControlCell(r, 16)
				c.transport = newTransport()
				c.advance(20 * time.Second)
				quiet := c.transport.bytes
				c.reads, c.transport = 0, newTransport()
				c.start(15)
				started := c.now
				for !c.hosts[15].cell.Ready() {
					c.advance(member.HeartbeatInterval)
				}
				b.ReportMetric(float64(c.now.Sub(started).Milliseconds()), "ready-ms")
				c.advance(20*time.Second - c.now.Sub(started))
				b.ReportMetric(float64(c.transport.bytes)-float64(quiet), "B/join")
				b.ReportMetric(float64(c.reads), "reads/join")
			})
		})
	}
}

// BenchmarkCellChange gives the time from the reading of a release by the
// relays until all hosts send new flows by it, without the time to build
// tables, and the frames that it adds.
func BenchmarkCellChange(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := nextRelease(nil, newObjects(21, 21, 160))
			next := releaseWithEpochs(newObjects(21, 21, 160), 2)
			runOnce(b, func() {
				c := newControlCell(r, n)
				c.transport = newTransport()
				took := c.activate(next)
				replies := float64(c.transport.bytes)
				c.transport = newTransport()
				c.advance(took)
				b.ReportMetric(float64(took.Milliseconds()), "active-ms")
				b.ReportMetric((replies-float64(c.transport.bytes))/float64(n), "B/host")
			})
		})
	}
}

// BenchmarkPlatformCalls gives the calls a minute of each failure domain of a
// cell, at two watches for each relay and 30 s for each watch.
func BenchmarkPlatformCalls(b *testing.B) {
	r := nextRelease(nil, newObjects(2, 2, 18))
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("domainhosts=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				c := newControlCell(r, n*len(failureDomains))
				relays := 0
				for _, h := range c.hosts {
					if h.watching {
						relays++
					}
				}
				b.ReportMetric(float64(relays)/float64(len(failureDomains)), "relays/domain")
				b.ReportMetric(float64(relays*2*2)/float64(len(failureDomains)), "calls/domain-min")
			})
		})
	}
}
