package capacity_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/request"
	"pimentospread/scheduling"
	"pimentospread/slo"
)

// requestCell is a cell with one request dispatcher for each host. Messages between
// the hosts are delivered without delay and targets answer immediately.
type requestCell struct {
	now       time.Time
	hosts     []*scheduling.Dispatcher
	transport *transport
	cpuTime   cpuMeter
	replies   int
	// silent makes the targets never answer.
	silent bool
}

func newRequestCell(n int) *requestCell {
	r := nextRelease(nil, newObjects(2, 2, 160))
	shared := newView(r, 0, n)
	c := &requestCell{now: startTime, transport: newTransport()}
	for i := range n {
		v := *shared
		v.Self, v.Incarnation = hostID(i), incarnation(i)
		h := scheduling.NewDispatcher(scheduling.DispatcherDeps{Self: v.Self, Incarnation: v.Incarnation, Started: startTime.Add(-time.Hour), Seed: uint64(i)})
		c.hosts = append(c.hosts, h)
		c.apply(i, func(h *scheduling.Dispatcher, a *dataplane.RequestActions) { h.Configure(c.now, &v, a) })
	}
	return c
}

// apply applies an operation to a host, delivers the resulting messages and answers
// the attempts.
func (c *requestCell) apply(i int, operation func(*scheduling.Dispatcher, *dataplane.RequestActions)) {
	var a dataplane.RequestActions
	c.cpuTime.start()
	operation(c.hosts[i], &a)
	c.cpuTime.stop()
	c.replies += len(a.Replies)
	for _, m := range a.PeerMessages {
		var to int
		if _, err := fmt.Sscanf(string(m.To), "host-%d", &to); err != nil {
			panic(err)
		}
		in := c.transport.deliver(hostID(i), incarnation(i), m.Message)
		c.apply(to, func(h *scheduling.Dispatcher, b *dataplane.RequestActions) { h.HandlePeerMessage(c.now, in, b) })
	}
	for _, t := range a.Attempts {
		if c.silent {
			continue
		}
		answer := request.Answer{Attempt: t.ID, From: t.Address, Kind: request.Done, Part: request.Part{Payload: []byte("done")}}
		c.apply(i, func(h *scheduling.Dispatcher, b *dataplane.RequestActions) { h.HandleAnswer(c.now, answer, b) })
	}
}

func (c *requestCell) handleRequest(host, number int, idempotent bool) {
	class := pimentospread.Class("transfer")
	r := request.Request{
		ID:      pimentospread.RequestID{Caller: pimentospread.CallerID(number%1000 + 1), Sequence: uint64(number)},
		Origin:  request.Origin{Caller: address(number, 40000), Service: address(0, 443), Token: fmt.Appendf(nil, "%08x", number)},
		Service: 1, Class: class, Deadline: c.now.Add(5 * time.Second), Idempotent: idempotent,
		Path: "/transfers", Payload: make([]byte, 100),
	}
	c.apply(host, func(h *scheduling.Dispatcher, a *dataplane.RequestActions) { h.HandleRequest(c.now, r, a) })
}

// benchmarkRequest reports the costs of the whole cell for one request until its
// reply.
func benchmarkRequest(b *testing.B, idempotent bool) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				const count = 20_000
				c := newRequestCell(n)
				c.cpuTime = cpuMeter{}
				for i := range count {
					c.handleRequest(i%n, i, idempotent)
					if i%1000 == 999 {
						c.now = c.now.Add(time.Second)
						for k := range c.hosts {
							c.apply(k, func(h *scheduling.Dispatcher, a *dataplane.RequestActions) { h.Tick(c.now, a) })
						}
					}
				}
				if c.replies != count {
					b.Fatalf("%d replies to %d requests", c.replies, count)
				}
				c.cpuTime.report(b, "cpu-ns/request", count)
				c.transport.codecTime.report(b, "codec-cpu-ns/request", count)
				b.ReportMetric(float64(c.transport.bytes)/count, "B/request")
				b.ReportMetric(float64(c.transport.messages)/count, "messages/request")
			})
		})
	}
}

func BenchmarkNonIdempotentRequest(b *testing.B) { benchmarkRequest(b, false) }

func BenchmarkIdempotentRequest(b *testing.B) { benchmarkRequest(b, true) }

// BenchmarkHeldRequests reports the memory of a request of 100 bytes in the queue
// of one host, and the CPU time to queue it.
func BenchmarkHeldRequests(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				var c *requestCell
				reportMemory(b, "B/request", n, func() any {
					c = newRequestCell(1)
					c.silent, c.cpuTime = true, cpuMeter{}
					for i := range n {
						c.handleRequest(0, i, true)
					}
					return c
				})
				if c.replies > 0 {
					b.Fatalf("%d of %d waiting requests got a reply", c.replies, n)
				}
				c.cpuTime.report(b, "cpu-ns/request", n)
			})
		})
	}
}

// BenchmarkElector reports the memory of a grant and the CPU time of a claim at an
// elector.
func BenchmarkElector(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("grants=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				var m cpuMeter
				reportMemory(b, "B/grant", n, func() any {
					v := newView(nextRelease(nil, newObjects(1, 1, 1)), 0, 16)
					e := request.NewElector(v.Self, startTime.Add(-time.Hour))
					e.Configure(startTime, v.Roster, v.PreviousRoster, v.PeerRosterVersions, 10*time.Second)
					for _, peer := range e.PeersToQuery() {
						e.AddPeerRosters(startTime, peer, nil)
					}
					m.start()
					for i := range n {
						id := pimentospread.RequestID{Caller: 7, Sequence: uint64(i)}
						claim := &request.Claim{Request: id, Round: 1, Rosters: []pimentospread.ObjectVersion{5}, Deadline: startTime.Add(5 * time.Second)}
						e.HandleClaim(startTime, claim, request.Claimant{Host: hostID(1), Incarnation: 1})
					}
					m.stop()
					if e.Grants() != n {
						b.Fatalf("elector holds %d grants, want %d", e.Grants(), n)
					}
					return e
				})
				m.report(b, "cpu-ns/claim", n)
			})
		})
	}
}

// burnReport records a request of each caller and returns the burn report.
func burnReport(r *slo.Recorder, callers int) slo.HostReport {
	for i := range callers {
		r.Record(startTime, 1, "transfer", pimentospread.CallerID(uint64(i+1)*0x9e3779b97f4a7c15), true)
	}
	return r.Report(startTime)
}

func newRecorder(host int) *slo.Recorder {
	r := slo.NewRecorder(slo.RecorderDeps{Host: hostID(host)})
	rules := newObjects(1, 1, 1).Policies[0]
	r.Configure(startTime, []slo.Service{{ID: 1, Name: "auction-desk", Classes: rules.Classes}})
	return r
}

// BenchmarkBurnCallers reports the size of the burn report of one host with one
// service, the CPU time to encode it and the memory of the recorder.
func BenchmarkBurnCallers(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			runOnce(b, func() {
				var recorder *slo.Recorder
				reportMemory(b, "B/service", 1, func() any {
					recorder = newRecorder(0)
					burnReport(recorder, n)
					return recorder
				})
				b.ReportMetric(float64(len(encodeJSON(b, burnReport(recorder, n)))), "report-B")
				reportCPUTime(b, "cpu-ns/report", func() { encodeJSON(b, recorder.Report(startTime)) })
			})
		})
	}
}

// BenchmarkBurnHosts reports the size of the merged burn report and the CPU time to
// decode and merge host reports of 1,000 callers each.
func BenchmarkBurnHosts(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var data [][]byte
			var queried []pimentospread.HostID
			for i := range n {
				data = append(data, encodeJSON(b, burnReport(newRecorder(i), 1000)))
				queried = append(queried, hostID(i))
			}
			merge := func() slo.Report {
				var reports []slo.HostReport
				for _, d := range data {
					reports = append(reports, decodeJSON[slo.HostReport](b, d))
				}
				return slo.Merge(queried, reports)
			}
			runOnce(b, func() {
				var out bytes.Buffer
				if err := merge().WriteJSON(&out); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(out.Len()), "merged-B")
				reportCPUTime(b, "cpu-ns/merge", func() { merge() })
			})
		})
	}
}
