package peer_test

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/keys"
	"pimentospread/member"
	"pimentospread/peer"
)

// keyring manages the key files of one host in a temporary directory.
type keyring struct {
	t     *testing.T
	files keys.Files
	self  keys.Identity
}

func newKeyring(t *testing.T, host pimentospread.HostID, a *keys.Authority) keyring {
	d := t.TempDir()
	k := keyring{t, keys.Files{
		CertificatePath: filepath.Join(d, "c"), KeyPath: filepath.Join(d, "k"), AuthorityPath: filepath.Join(d, "a"),
	}, keys.Identity{Cell: "x", Host: host}}
	k.issue(a)
	k.trust(a)
	return k
}

// write replaces a file atomically, as the operations page requires: a host that
// reads a partial file keeps its previous keys until its next handshake.
func (k keyring) write(path string, data []byte) {
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		k.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		k.t.Fatal(err)
	}
}

// trust replaces the trusted authorities.
func (k keyring) trust(authorities ...*keys.Authority) {
	var data []byte
	for _, a := range authorities {
		data = append(data, a.Pair.Certificate...)
	}
	k.write(k.files.AuthorityPath, data)
}

// issue replaces the host's certificate and key with new ones from the authority.
func (k keyring) issue(a *keys.Authority) {
	p, err := a.IssueHost(k.self, nil, time.Now(), time.Hour)
	if err != nil {
		k.t.Fatal(err)
	}
	k.write(k.files.KeyPath, p.Key)
	k.write(k.files.CertificatePath, p.Certificate)
}

func (k keyring) open() *keys.Store {
	s, err := keys.Open(keys.Deps{
		Use: "peer", Files: k.files, Self: k.self, Clock: pimentospread.SystemClock{},
		Metrics: newCounters(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		k.t.Fatal(err)
	}
	return s
}

func newAuthority(t *testing.T) *keys.Authority {
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func secured(k keyring, renewAfter time.Duration) func(*peer.Deps) {
	return func(d *peer.Deps) { d.Keys, d.RenewAfter = k.open(), renewAfter }
}

// await waits until the named counter is above zero.
func await(t *testing.T, n *node, name string) {
	t.Helper()
	for n.metrics.value(name) == 0 {
		select {
		case <-n.metrics.raised:
		case <-t.Context().Done():
			t.Fatalf("%s is still 0", name)
		}
	}
}

// TestSenderMustMatchCertificate guards against a host that sends messages under
// the name of another one, and against a connection that stays open afterwards.
func TestSenderMustMatchCertificate(t *testing.T) {
	authority := newAuthority(t)
	b := start(t, "b", "127.0.0.1:0", secured(newKeyring(t, "b", authority), 0))
	c, err := (&tls.Dialer{Config: newKeyring(t, "c", authority).open().PeerClient("b")}).DialContext(t.Context(), "tcp", b.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, from := range []pimentospread.HostID{"c", "a"} {
		frame, err := peer.Encode(from, 1, &member.Heartbeat{Sequence: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(frame); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open after a frame of another sender")
	}
	if m := <-b.inbox.Items(); m.From != "c" {
		t.Errorf("message from %q, want c", m.From)
	}
	if n := b.inbox.Len(); n != 0 {
		t.Errorf("%d more messages arrived, want 0", n)
	}
	if got := b.metrics.value(`pimentospread_peer_malformed_total{cause="sender"}`); got != 1 {
		t.Errorf("%d frames of another sender counted, want 1", got)
	}
}

// TestRefusedConnections guards against connections between hosts that do not
// trust each other, and against refusals that are not counted on both sides.
func TestRefusedConnections(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	untrusted := newKeyring(t, "a", foreign)
	untrusted.trust(ours)
	a := start(t, "a", "127.0.0.1:0", secured(untrusted, 0))
	b := start(t, "b", "127.0.0.1:0", secured(newKeyring(t, "b", ours), 0))
	plain := start(t, "p", "127.0.0.1:0")
	for n, to := range map[*node]map[pimentospread.HostID]netip.AddrPort{
		a: {"b": b.address}, b: {"a": a.address, "p": plain.address}, plain: {"b": b.address},
	} {
		if err := n.network.SetPeers(t.Context(), to); err != nil {
			t.Fatal(err)
		}
	}
	await(t, b, `pimentospread_peer_refused_connections_total{side="accept",cause="authority"}`)
	await(t, a, `pimentospread_peer_refused_connections_total{side="dial",cause="remote"}`)
	await(t, b, `pimentospread_peer_refused_connections_total{side="dial",cause="authority"}`)
	await(t, a, `pimentospread_peer_refused_connections_total{side="accept",cause="remote"}`)
	await(t, b, `pimentospread_peer_refused_connections_total{side="dial",cause="protocol"}`)
	await(t, plain, `pimentospread_peer_malformed_total{cause="length"}`)
	if n := a.inbox.Len() + b.inbox.Len() + plain.inbox.Len(); n != 0 {
		t.Errorf("%d messages arrived, want 0", n)
	}
}

// TestPlaintextOnlyToLoopback guards against plain TCP to an address that is not
// a loopback address.
func TestPlaintextOnlyToLoopback(t *testing.T) {
	a := start(t, "a", "127.0.0.1:0")
	// The address is in a documentation range. Nothing is sent to it.
	if err := a.network.SetPeers(t.Context(), map[pimentospread.HostID]netip.AddrPort{"b": netip.MustParseAddrPort("192.0.2.1:9")}); err != nil {
		t.Fatal(err)
	}
	await(t, a, `pimentospread_peer_refused_connections_total{side="dial",cause="plain"}`)
}

// TestKeyRotationLosesNoMessages guards against messages that are lost when keys
// are rotated while connections are open, and against connections that keep
// using the previous keys.
func TestKeyRotationLosesNoMessages(t *testing.T) {
	tests := map[string]struct {
		renewAfter time.Duration
		handshakes int
	}{
		"connections stay open":   {time.Hour, 1},
		"connections are renewed": {5 * time.Millisecond, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newAuthority(t), newAuthority(t)
			keysA, keysB := newKeyring(t, "a", first), newKeyring(t, "b", first)
			a := start(t, "a", "127.0.0.1:0", secured(keysA, tt.renewAfter))
			b := start(t, "b", "127.0.0.1:0", secured(keysB, tt.renewAfter))
			if err := a.network.SetPeers(t.Context(), map[pimentospread.HostID]netip.AddrPort{"b": b.address}); err != nil {
				t.Fatal(err)
			}
			exchange(t, a, b, "b")
			rotation := []func(){
				func() { keysA.trust(first, second); keysB.trust(first, second) },
				func() { keysA.issue(second); keysB.issue(second) },
				func() { keysA.trust(second); keysB.trust(second) },
			}
			const handshakes = `pimentospread_peer_handshakes_total{side="accept"}`
			for sequence := uint64(1000); len(rotation) > 0 || b.metrics.value(handshakes) < tt.handshakes; sequence++ {
				if len(rotation) > 0 {
					rotation[0]()
					rotation = rotation[1:]
				}
				deliver(t, a, b, sequence)
			}
			refused := 0
			for _, c := range keys.Causes() {
				refused += b.metrics.value(`pimentospread_peer_refused_connections_total{side="accept",cause="` + string(c) + `"}`)
			}
			if got := b.metrics.value(handshakes); refused != 0 || tt.renewAfter == time.Hour && got != tt.handshakes {
				t.Errorf("%d handshakes, %d refused, want %d and 0", got, refused, tt.handshakes)
			}
		})
	}
}

// deliver sends one message and waits until it arrives. The timeout is reached
// only when the message is lost.
func deliver(t *testing.T, a, b *node, sequence uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := a.network.Send(ctx, pimentospread.Outbound{To: "b", Message: &member.Heartbeat{Sequence: sequence}}); err != nil {
		t.Fatal(err)
	}
	for {
		select {
		case m := <-b.inbox.Items():
			if m.Message.(*member.Heartbeat).Sequence == sequence {
				return
			}
		case <-a.metrics.raised:
		case <-b.metrics.raised:
		case <-ctx.Done():
			t.Fatalf("message %d did not arrive", sequence)
		}
	}
}
