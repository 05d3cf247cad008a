package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/peer"
	"pimentospread/ring"
	"pimentospread/target"
)

func encodeJSON(b *testing.B, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func decodeJSON[T any](b *testing.B, data []byte) T {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		b.Fatal(err)
	}
	return v
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe reports the CPU time and the bytes of a probe over loopback. The
// CPU time includes the server of the target.
func BenchmarkProbe(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var addresses []netip.AddrPort
			for range n {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", "application/json")
					_ = json.NewEncoder(w).Encode(pimentospread.LoadReport{Healthy: true, Running: 2, Connections: 1200})
				}))
				b.Cleanup(s.Close)
				addresses = append(addresses, netip.MustParseAddrPort(s.Listener.Addr().String()))
			}
			var bytes atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				return countedConn{c, &bytes}, err
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dial}}
			defer client.CloseIdleConnections()
			prober := target.NewProber(target.Deps{HTTP: client, Clock: pimentospread.SystemClock{}, Timeout: time.Minute})
			probe := func() {
				for _, a := range addresses {
					if _, err := prober.Probe(b.Context(), a); err != nil {
						b.Fatal(err)
					}
				}
			}
			probe()
			runOnce(b, func() {
				const rounds = 50
				bytes.Store(0)
				var m cpuMeter
				m.start()
				for range rounds {
					probe()
				}
				m.stop()
				m.report(b, "cpu-ns/probe", rounds*n)
				b.ReportMetric(float64(bytes.Load())/float64(rounds*n), "B/probe")
			})
		})
	}
}

// discardMetrics implements pimentospread.Metrics and discards all values.
type discardMetrics struct{}

func (discardMetrics) Add(int)                                {}
func (d discardMetrics) Counter(string) pimentospread.Counter { return d }
func (discardMetrics) Gauge(name string, read func() float64) { _, _ = name, read }

// stackSize returns the memory of the stacks of all goroutines.
func stackSize() pimentospread.Bytes {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return pimentospread.Bytes(s.StackInuse)
}

// BenchmarkPeerNetwork reports the memory of a connection and the CPU time of a
// heartbeat from a host to each of its peers over loopback, including both ends.
func BenchmarkPeerNetwork(b *testing.B) {
	for _, n := range []int{3, 7, 15} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			before := heapSize() + stackSize()
			inbox := ring.New[pimentospread.Inbound](1<<14, ring.Block)
			addresses := map[pimentospread.HostID]netip.AddrPort{}
			var sender *peer.Network
			for i := range n + 1 {
				l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				w := peer.NewNetwork(peer.Deps{
					Self: hostID(i), Incarnation: incarnation(i), Listener: l, Registry: newTransport().registry,
					Inbox: inbox, Metrics: discardMetrics{}, Log: slog.New(slog.DiscardHandler),
				})
				go func() { _ = w.Run(b.Context()) }()
				if i == 0 {
					sender = w
					continue
				}
				addresses[hostID(i)] = netip.MustParseAddrPort(l.Addr().String())
			}
			if err := sender.SetPeers(b.Context(), addresses); err != nil {
				b.Fatal(err)
			}
			round := func(sequence uint64) {
				h := &member.Heartbeat{Sequence: sequence, Held: 9, Prepared: 9, Active: 9, Digest: 1 << 60, RosterVersion: 5, Ready: true, ListVersion: 1 << 60}
				for id := range addresses {
					for sender.Send(b.Context(), pimentospread.Outbound{To: id, Message: h}) != nil {
						time.Sleep(time.Millisecond)
					}
				}
				for range addresses {
					<-inbox.Items()
				}
			}
			round(1)
			runOnce(b, func() {
				b.ReportMetric(float64(heapSize()+stackSize()-before)/float64(2*n), "B/connection")
				const rounds = 2000
				var m cpuMeter
				m.start()
				for i := range rounds {
					round(uint64(i + 2))
				}
				m.stop()
				m.report(b, "cpu-ns/message", rounds*n)
			})
		})
	}
}
