package peer_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/peer"
	"pimentospread/ring"
)

// counters implements pimentospread.Metrics for tests.
type counters struct {
	mutex  sync.Mutex
	values map[string]int
	// raised holds a value if a counter was raised since the last receive. Its
	// capacity is one, so Add never blocks the duty that counts.
	raised chan struct{}
}

type counter struct {
	all  *counters
	name string
}

func newCounters() *counters {
	return &counters{values: map[string]int{}, raised: make(chan struct{}, 1)}
}

func (c *counters) Counter(name string) pimentospread.Counter { return counter{c, name} }
func (c *counters) Gauge(string, func() float64)              {}

func (c counter) Add(n int) {
	c.all.mutex.Lock()
	c.all.values[c.name] += n
	c.all.mutex.Unlock()
	select {
	case c.all.raised <- struct{}{}:
	default:
	}
}

func (c *counters) value(name string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.values[name]
}

// node is a network under test with its inbox.
type node struct {
	network *peer.Network
	inbox   *ring.Ring[pimentospread.Inbound]
	address netip.AddrPort
	metrics *counters
	stop    context.CancelFunc
	done    chan struct{}
}

// start runs a network that listens on the address.
func start(t *testing.T, id pimentospread.HostID, address string, changes ...func(*peer.Deps)) *node {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{
		inbox:   ring.New[pimentospread.Inbound](64, ring.DropOldest),
		address: netip.MustParseAddrPort(l.Addr().String()),
		metrics: newCounters(),
		done:    make(chan struct{}),
	}
	d := peer.Deps{
		Self: id, Incarnation: 1, Listener: l, Inbox: n.inbox, Metrics: n.metrics, Log: slog.New(slog.DiscardHandler),
		Registry: peer.Registry{member.KindHeartbeat: func() pimentospread.Message { return &member.Heartbeat{} }},
	}
	for _, change := range changes {
		change(&d)
	}
	n.network = peer.NewNetwork(d)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.done)
		if err := n.network.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(n.end)
	return n
}

// end stops the network and waits for its duties.
func (n *node) end() {
	n.stop()
	<-n.done
}

// exchange sends heartbeats until one arrives, because messages to a peer that is
// not connected are dropped.
func exchange(t *testing.T, from, to *node, id pimentospread.HostID) pimentospread.Inbound {
	t.Helper()
	for sequence := uint64(1); ; sequence++ {
		_ = from.network.Send(t.Context(), pimentospread.Outbound{To: id, Message: &member.Heartbeat{Sequence: sequence}})
		select {
		case m := <-to.inbox.Items():
			return m
		case <-from.metrics.raised:
		case <-to.metrics.raised:
		}
	}
}

// TestNetworkDeliversMessages guards against messages that are lost between two
// running hosts, also after one of them has restarted at the same address.
func TestNetworkDeliversMessages(t *testing.T) {
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	if err := a.network.SetPeers(t.Context(), map[pimentospread.HostID]netip.AddrPort{"a": a.address, "b": b.address}); err != nil {
		t.Fatal(err)
	}
	if m := exchange(t, a, b, "b"); m.From != "a" || m.Incarnation != 1 {
		t.Errorf("message from %q with incarnation %d, want a and 1", m.From, m.Incarnation)
	}
	sent, received := a.metrics.value(`pimentospread_peer_sent_bytes_total{kind="Heartbeat"}`), b.metrics.value(`pimentospread_peer_received_bytes_total{kind="Heartbeat"}`)
	if sent == 0 || received == 0 {
		t.Errorf("%d bytes counted as sent and %d as received, want more than 0", sent, received)
	}
	b.end()
	c := start(t, "b", b.address.String())
	if m := exchange(t, a, c, "b"); m.From != "a" {
		t.Errorf("message from %q after the restart, want a", m.From)
	}
	if err := a.network.SetPeers(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	// Send succeeds until the duty that manages the links has applied the new set of peers.
	for a.network.Send(t.Context(), pimentospread.Outbound{To: "b", Message: &member.Heartbeat{Sequence: 1}}) == nil {
		runtime.Gosched()
	}
}

// TestMalformedInputClosesConnection guards against a connection that stays open
// after malformed input, and against malformed input that is not counted.
func TestMalformedInputClosesConnection(t *testing.T) {
	n := start(t, "a", "127.0.0.1:0")
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", n.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte{0, 0, 0, 1, 0xc1}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open after malformed input")
	}
	if got := n.metrics.value(`pimentospread_peer_malformed_total{cause="envelope"}`); got != 1 {
		t.Errorf("%d malformed envelopes counted, want 1", got)
	}
}
