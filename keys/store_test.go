package keys_test

import (
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/keys"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// clock is a clock that returns a fixed time.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// counts implements pimentospread.Metrics. It is not safe for concurrent use, so
// tests read it only while no handshake runs.
type counts map[string]int

type count struct {
	all  counts
	name string
}

func (c counts) Counter(name string) pimentospread.Counter { return count{c, name} }
func (c counts) Gauge(string, func() float64)              {}
func (c count) Add(n int)                                  { c.all[c.name] += n }

// check returns a function that fails the test on an error and else returns the value.
func check[T any](t testing.TB) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func newAuthority(t testing.TB) *keys.Authority {
	return check[*keys.Authority](t)(keys.NewAuthority("test", epoch, 1000*time.Hour))
}

func issue(t testing.TB, a *keys.Authority, i keys.Identity, validity time.Duration) keys.Pair {
	addresses := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	return check[keys.Pair](t)(a.IssueHost(i, addresses, epoch, validity))
}

// write writes the key files into the directory.
func write(t testing.TB, directory string, p keys.Pair, authorities ...*keys.Authority) keys.Files {
	t.Helper()
	f := keys.Files{
		CertificatePath: filepath.Join(directory, "c"), KeyPath: filepath.Join(directory, "k"),
		AuthorityPath: filepath.Join(directory, "a"),
	}
	var trusted []byte
	for _, a := range authorities {
		trusted = append(trusted, a.Pair.Certificate...)
	}
	for path, data := range map[string][]byte{f.CertificatePath: p.Certificate, f.KeyPath: p.Key, f.AuthorityPath: trusted} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func open(t testing.TB, f keys.Files, self keys.Identity, c *clock, m counts) *keys.Store {
	t.Helper()
	return check[*keys.Store](t)(keys.Open(keys.Deps{
		Use: "peer", Files: f, Self: self, Clock: c, Metrics: m, Log: slog.New(slog.DiscardHandler),
	}))
}

// handshake connects a client and a server and returns the error of each side. The
// server sends one byte and the client waits for it, because in TLS 1.3 a client
// receives the alert for its rejected certificate only after its handshake.
func handshake(t testing.TB, client, server *tls.Config) (fromClient, fromServer error) {
	t.Helper()
	l := check[net.Listener](t)(new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0"))
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err == nil {
			defer func() { _ = raw.Close() }()
			_, err = tls.Server(raw, server).Write([]byte{1})
		}
		done <- err
	}()
	raw := check[net.Conn](t)(new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String()))
	defer func() { _ = raw.Close() }()
	_, fromClient = tls.Client(raw, client).Read(make([]byte, 1))
	return fromClient, <-done
}

func causeOf(err error) keys.Cause {
	if err == nil {
		return ""
	}
	return keys.CauseOf(err)
}

// Guards against connections with a side that is not a host of the cell, and
// against refusals that report a wrong cause.
func TestHandshakes(t *testing.T) {
	trustedAuthority, untrustedAuthority := newAuthority(t), newAuthority(t)
	a, b, otherCell := keys.Identity{Cell: "x", Host: "a"}, keys.Identity{Cell: "x", Host: "b"}, keys.Identity{Cell: "y", Host: "a"}
	operator := check[keys.Pair](t)(trustedAuthority.IssueOperator("alice", epoch, time.Hour))
	long := 100 * time.Hour
	tests := map[string]struct {
		pair           keys.Pair
		trusted        *keys.Authority
		dialed         pimentospread.HostID
		at             time.Duration
		change         func(*tls.Config)
		client, server keys.Cause
	}{
		"valid":                    {pair: issue(t, trustedAuthority, a, long)},
		"untrusted client":         {pair: issue(t, untrustedAuthority, a, long), client: keys.CauseRemote, server: keys.CauseAuthority},
		"untrusted server":         {pair: issue(t, trustedAuthority, a, long), trusted: untrustedAuthority, client: keys.CauseAuthority, server: keys.CauseRemote},
		"another cell":             {pair: issue(t, trustedAuthority, otherCell, long), client: keys.CauseRemote, server: keys.CauseCell},
		"another host than dialed": {pair: issue(t, trustedAuthority, a, long), dialed: "c", client: keys.CauseHost, server: keys.CauseRemote},
		"expired":                  {pair: issue(t, trustedAuthority, a, time.Hour), at: 2 * time.Hour, client: keys.CauseRemote, server: keys.CauseExpired},
		"not yet valid":            {pair: issue(t, trustedAuthority, a, long), at: -time.Hour, client: keys.CauseExpired, server: keys.CauseRemote},
		"operator certificate":     {pair: operator, client: keys.CauseRemote, server: keys.CauseIdentity},
		"no certificate": {
			pair: operator, change: func(c *tls.Config) { c.Certificates = nil },
			client: keys.CauseRemote, server: keys.CauseProtocol,
		},
		"TLS 1.2": {
			pair: operator, change: func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12 },
			client: keys.CauseRemote, server: keys.CauseProtocol,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{epoch.Add(tt.at)}
			server := open(t, write(t, t.TempDir(), issue(t, trustedAuthority, b, long), trustedAuthority), b, c, counts{})
			trusted, dialed := trustedAuthority, pimentospread.HostID("b")
			if tt.trusted != nil {
				trusted = tt.trusted
			}
			if tt.dialed != "" {
				dialed = tt.dialed
			}
			// The client's store would reject most of these certificates, so they are set in the configuration of a valid store.
			client := open(t, write(t, t.TempDir(), issue(t, trustedAuthority, a, long), trusted), a, c, counts{}).PeerClient(dialed)
			client.Certificates = []tls.Certificate{check[tls.Certificate](t)(tls.X509KeyPair(tt.pair.Certificate, tt.pair.Key))}
			if tt.change != nil {
				tt.change(client)
			}
			fromClient, fromServer := handshake(t, client, server.PeerServer())
			if got := causeOf(fromClient); got != tt.client {
				t.Errorf("client: cause %q, want %q: %v", got, tt.client, fromClient)
			}
			if got := causeOf(fromServer); got != tt.server {
				t.Errorf("server: cause %q, want %q: %v", got, tt.server, fromServer)
			}
		})
	}
}

// Guards against changed files that are not loaded, and against an incomplete or
// wrong rotation that replaces valid keys.
func TestRotation(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	a := keys.Identity{Cell: "x", Host: "a"}
	directory, m, c := t.TempDir(), counts{}, &clock{epoch}
	old, renewed := issue(t, first, a, time.Hour), issue(t, second, a, time.Hour)
	s := open(t, write(t, directory, old, first), a, c, m)
	steps := []struct {
		name        string
		pair        keys.Pair
		authorities []*keys.Authority
		loads       bool
	}{
		{"unchanged", old, []*keys.Authority{first}, true},
		{"both authorities", old, []*keys.Authority{first, second}, true},
		{"certificate before its key", keys.Pair{Certificate: renewed.Certificate, Key: old.Key}, []*keys.Authority{second, first}, false},
		{"certificate and key", renewed, []*keys.Authority{first, second}, true},
		{"no authority", renewed, nil, false},
		{"another host", issue(t, second, keys.Identity{Cell: "x", Host: "b"}, time.Hour), []*keys.Authority{second}, false},
		{"former authority removed", renewed, []*keys.Authority{second}, true},
	}
	for _, step := range steps {
		write(t, directory, step.pair, step.authorities...)
		failures := m[`pimentospread_keys_reload_failures_total{use="peer"}`]
		client := s.PeerClient("a")
		if loads := m[`pimentospread_keys_reload_failures_total{use="peer"}`] == failures; loads != step.loads {
			t.Errorf("%s: load without failure is %t, want %t", step.name, loads, step.loads)
		}
		fromClient, fromServer := handshake(t, client, s.PeerServer())
		if fromClient != nil || fromServer != nil {
			t.Errorf("%s: handshake failed: client %v, server %v", step.name, fromClient, fromServer)
		}
	}
	if got := m[`pimentospread_keys_reloads_total{use="peer"}`]; got != 4 {
		t.Errorf("%d reloads, want 4", got)
	}
}

// Guards against cell and host names that are parsed as another identity when
// they are read from a certificate.
func TestIdentityRoundTrip(t *testing.T) {
	authority := newAuthority(t)
	for _, i := range []keys.Identity{{Cell: "x", Host: "a"}, {Cell: "x/a", Host: "b"}, {Cell: "x", Host: "a/../b"}, {Cell: "%2F", Host: "ä ?#"}} {
		p := issue(t, authority, i, time.Hour)
		c := check[tls.Certificate](t)(tls.X509KeyPair(p.Certificate, p.Key))
		got := check[keys.Identity](t)(keys.IdentityOf(c.Leaf))
		if diff := cmp.Diff(i, got); diff != "" {
			t.Error(diff)
		}
	}
}

// countingConn is a connection that counts the bytes in both directions.
type countingConn struct {
	net.Conn
	in, out int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in += n
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out += n
	return n, err
}

// processorTime returns the CPU time that the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake reports the CPU time of both sides together, the bytes that
// a client sends and receives in a handshake, and the TLS overhead of one message
// in bytes.
func BenchmarkHandshake(b *testing.B) {
	authority, message := newAuthority(b), make([]byte, 100)
	a := keys.Identity{Cell: "lk-west", Host: "lk-west-neg-01"}
	s := open(b, write(b, b.TempDir(), issue(b, authority, a, time.Hour), authority), a, &clock{epoch}, counts{})
	l := check[net.Listener](b)(new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0"))
	defer func() { _ = l.Close() }()
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, tls.Server(raw, s.PeerServer()))
			_ = raw.Close()
		}
	}()
	var c countingConn
	var in, out, record int
	began := processorTime(b)
	for b.Loop() {
		c = countingConn{Conn: check[net.Conn](b)(new(net.Dialer).DialContext(b.Context(), "tcp", l.Addr().String()))}
		secured := tls.Client(&c, s.PeerClient(a.Host))
		if err := secured.HandshakeContext(b.Context()); err != nil {
			b.Fatal(err)
		}
		in, out = c.in, c.out
		_ = check[int](b)(secured.Write(message))
		record = c.out - out - len(message)
		_ = secured.Close()
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(out), "sent-B")
	b.ReportMetric(float64(in), "received-B")
	b.ReportMetric(float64(record), "record-B")
}
