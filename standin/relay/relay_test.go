package relay_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/member"
	"pimentospread/standin/relay"
)

// Guards against a relay that forwards data of an isolated failure domain, or that
// isolates hosts of one failure domain from each other.
func TestIsolate(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	r, err := relay.New(ctx, 2)
	if err != nil {
		t.Fatal(err)
	}
	g := duty.NewGroup(ctx, slog.New(slog.DiscardHandler))
	r.Start(g)
	defer func() { stop(); _ = g.Wait() }()
	first, second := listen(t), listen(t)
	relayed, err := r.SetRoster(member.Roster{Hosts: []member.Host{
		{ID: "a", FailureDomain: "one", PeerAddress: address(first)},
		{ID: "b", FailureDomain: "two", PeerAddress: address(second)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	open := send(t, relayed.Hosts[1].PeerAddress)
	if got := receive(t, second); got != "a" {
		t.Errorf("before the isolation: got sender %q, want a", got)
	}
	r.Isolate("two")
	if _, err := open.Write(frame(t)); err != nil {
		t.Fatal(err)
	}
	send(t, relayed.Hosts[0].PeerAddress)
	if got := receive(t, first); got != "a" {
		t.Errorf("within a failure domain: got sender %q, want a", got)
	}
	for r.Lost.Load() == 0 {
		// The open connection must drop the data; otherwise the loop would not end.
		if _, err := open.Write(frame(t)); err != nil {
			t.Fatal(err)
		}
	}
	r.Isolate("")
	send(t, relayed.Hosts[1].PeerAddress)
	if got := receive(t, second); got != "a" {
		t.Errorf("after the isolation: got sender %q, want a", got)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func frame(t *testing.T) []byte {
	t.Helper()
	body, err := msgpack.Marshal([]any{pimentospread.HostID("a"), 1})
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func send(t *testing.T, to netip.AddrPort) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write(frame(t)); err != nil {
		t.Fatal(err)
	}
	return c
}

// receive returns the sender of the first frame on the next connection.
func receive(t *testing.T, l net.Listener) string {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	data := make([]byte, len(frame(t)))
	if _, err := io.ReadFull(c, data); err != nil {
		t.Fatal(err)
	}
	var envelope []any
	if err := msgpack.Unmarshal(data[4:], &envelope); err != nil {
		t.Fatal(err)
	}
	return envelope[0].(string)
}
