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

// Guards against a relay that lets a cut pass, or that cuts hosts of one
// failure domain off from each other.
func TestCut(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	r, err := relay.New(ctx, 2)
	if err != nil {
		t.Fatal(err)
	}
	g := duty.NewGroup(ctx, slog.New(slog.DiscardHandler))
	r.Start(g)
	defer func() { stop(); _ = g.Wait() }()
	near, far := listen(t), listen(t)
	front, err := r.SetRoster(member.Roster{Hosts: []member.Host{
		{ID: "a", FailureDomain: "one", PeerAddress: address(near)},
		{ID: "b", FailureDomain: "two", PeerAddress: address(far)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	whole := send(t, front.Hosts[1].PeerAddress)
	if got := receive(t, far); got != "a" {
		t.Errorf("whole network: got %q", got)
	}
	r.Cut("two")
	if _, err := whole.Write(frame(t)); err != nil {
		t.Fatal(err)
	}
	send(t, front.Hosts[0].PeerAddress)
	if got := receive(t, near); got != "a" {
		t.Errorf("within the failure domain: got %q", got)
	}
	for r.Lost.Load() == 0 {
		// The open connection drops what it carries; the test would not end otherwise.
		if _, err := whole.Write(frame(t)); err != nil {
			t.Fatal(err)
		}
	}
	r.Cut("")
	send(t, front.Hosts[1].PeerAddress)
	if got := receive(t, far); got != "a" {
		t.Errorf("healed network: got %q", got)
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
