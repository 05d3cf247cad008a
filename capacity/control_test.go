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

// workers is the number of workers that load views: one flow shard, the request
// dispatcher and the query server.
const workers = 3

// controlHost is the control state of a host together with the events that its
// environment has queued for it.
type controlHost struct {
	host        member.Host
	cell        *controlplane.Cell
	incarnation pimentospread.Incarnation
	watching    bool
	view        *dataplane.View
	events      []controlplane.Event
}

// controlCell is a cell of hosts whose messages are delivered without delay.
type controlCell struct {
	now           time.Time
	hosts         []*controlHost
	packedRelease *controlplane.PackedRelease
	// tables holds the tables by generation and base. They are the same on every host.
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
	packed, err := controlplane.Pack(data, release.Decode)
	if err != nil {
		panic(err)
	}
	return packed
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
			panic("host is not ready after 20 s: " + string(h.host.ID))
		}
	}
	return c
}

// start starts a new incarnation of a host.
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

// handle passes an event to a host and carries out the resulting actions.
func (c *controlCell) handle(h *controlHost, e controlplane.Event) {
	c.cellTime.start()
	actions := h.cell.Handle(c.now, e)
	c.cellTime.stop()
	for _, m := range actions.Messages {
		in := c.transport.deliver(h.host.ID, h.incarnation, m.Message)
		i := slices.IndexFunc(c.hosts, func(o *controlHost) bool { return o.host.ID == m.To })
		if c.hosts[i].cell != nil {
			c.hosts[i].events = append(c.hosts[i].events, c.receivedEvent(in))
		}
	}
	if actions.Build != nil {
		h.events = append(h.events, c.buildTables(actions.Build))
	}
	if actions.View != nil {
		h.view = actions.View
		for worker := range workers {
			h.events = append(h.events, controlplane.ViewLoaded{Worker: worker, Sequence: actions.View.Sequence, Prepared: actions.View.Generation()})
		}
	}
	if actions.ReadPlatform {
		c.reads += 2
		h.events = append(h.events, controlplane.ReleaseRead{PackedRelease: c.packedRelease}, controlplane.RosterRead{Roster: c.roster()}, controlplane.PlatformReadDone{Answered: true})
	}
	if actions.Watch != nil {
		h.watching = actions.Watch.On
	}
	c.probes += len(actions.Probes)
	for _, t := range actions.Probes {
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
			e.PackedRelease = c.packedRelease
		}
		return e
	}
	panic("unexpected kind of message " + string(in.Message.MessageKind()))
}

func (c *controlCell) buildTables(b *controlplane.TableBuild) controlplane.Event {
	key := fmt.Sprintf("%d after %d", b.PackedRelease.Release.Generation, b.Base)
	if c.tables[key] == nil {
		c.tables[key] = b.Run().Services
	}
	return controlplane.TablesBuilt{PackedRelease: b.PackedRelease, Base: b.Base, Services: c.tables[key]}
}

// handlePending handles the queued events of all hosts.
func (c *controlCell) handlePending() {
	for handled := true; handled; {
		handled = false
		for _, h := range c.hosts {
			for len(h.events) > 0 && h.cell != nil {
				e := h.events[0]
				h.events = h.events[1:]
				c.handle(h, e)
				handled = true
			}
		}
	}
}

// advance moves the time forward. The ticks are spread evenly over the hosts.
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

// activate delivers a new release to the relays and returns the time until it is
// active on every host.
func (c *controlCell) activate(r *release.Release) time.Duration {
	c.packedRelease = packedRelease(r)
	published := c.now
	for _, h := range c.hosts {
		if h.watching {
			c.handle(h, controlplane.ReleaseRead{PackedRelease: c.packedRelease})
		}
	}
	c.handlePending()
	notActivated := func(h *controlHost) bool { return h.cell.ActiveGeneration() < r.Generation }
	for slices.ContainsFunc(c.hosts, notActivated) {
		c.advance(member.HeartbeatInterval)
	}
	return c.now.Sub(published)
}

// reportTraffic runs the cell for a minute and reports the costs of the control
// duty for each host and second.
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

// BenchmarkCellQuiet reports the costs of a cell without failures and the memory of
// a host's control state. The hosts of the benchmark share the release and its
// tables.
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

// BenchmarkCellFlagged reports the costs of a cell of 16 hosts and 160 targets,
// some of which do not respond to probes.
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

// BenchmarkCellJoin reports the time until a restarted host is ready, and the
// traffic of the cell in the first 20 s in excess of a cell without a join.
func BenchmarkCellJoin(b *testing.B) {
	for _, n := range []int{40, 160, 640} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := nextRelease(nil, newObjects(21, 21, n))
			runOnce(b, func() {
				c := newControlCell(r, 16)
				c.transport = newTransport()
				c.advance(20 * time.Second)
				quietBytes := c.transport.bytes
				c.reads, c.transport = 0, newTransport()
				c.start(15)
				started := c.now
				for !c.hosts[15].cell.Ready() {
					c.advance(member.HeartbeatInterval)
				}
				b.ReportMetric(float64(c.now.Sub(started).Milliseconds()), "ready-ms")
				c.advance(20*time.Second - c.now.Sub(started))
				b.ReportMetric(float64(c.transport.bytes)-float64(quietBytes), "B/join")
				b.ReportMetric(float64(c.reads), "reads/join")
			})
		})
	}
}

// BenchmarkCellChange reports the time from the relays reading a release until it
// is active on all hosts, without the time to build tables, and the additional
// traffic.
func BenchmarkCellChange(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := nextRelease(nil, newObjects(21, 21, 160))
			next := releaseWithEpochs(newObjects(21, 21, 160), 2)
			runOnce(b, func() {
				c := newControlCell(r, n)
				c.transport = newTransport()
				elapsed := c.activate(next)
				bytesWithChange := float64(c.transport.bytes)
				c.transport = newTransport()
				c.advance(elapsed)
				b.ReportMetric(float64(elapsed.Milliseconds()), "active-ms")
				b.ReportMetric((bytesWithChange-float64(c.transport.bytes))/float64(n), "B/host")
			})
		})
	}
}

// BenchmarkPlatformCalls reports the calls per minute of each failure domain of a
// cell, with two watches for each relay and a watch timeout of 30 s.
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
