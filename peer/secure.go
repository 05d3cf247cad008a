package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"pimentospread"
	"pimentospread/keys"
)

// renewGrace is the time after RenewAfter at which the receiver closes a
// connection that the sender has not renewed. Messages in transit are then lost,
// so the sender gets time to renew first.
const renewGrace = time.Minute

// errRenewed means that a connection was closed because it reached RenewAfter.
var errRenewed = errors.New("connection reached its maximum age")

// errAfterFlush returns the error of the last flush, which means that messages
// were lost, or errRenewed.
func errAfterFlush(err error) error {
	if err != nil {
		return err
	}
	return errRenewed
}

// renewal returns a channel that receives when a connection must be replaced. The
// time is up to a tenth shorter at random, so that the connections of a host that
// has just started are not all renewed at once.
func (n *Network) renewal() (<-chan time.Time, func() bool) {
	if n.deps.Keys == nil {
		return nil, func() bool { return true }
	}
	age := n.deps.RenewAfter
	t := time.NewTimer(age - rand.N(age/10+1))
	return t.C, t.Stop
}

// dial connects to the peer and, with keys, verifies the peer's identity.
func (l *link) dial(ctx context.Context) (net.Conn, error) {
	n := l.network
	if n.deps.Keys == nil && !n.deps.AllowPlaintext && !l.address.Addr().Unmap().IsLoopback() {
		err := keys.NewPlaintextError(l.peer, l.address)
		n.metrics.handshake(dialing, err)
		n.deps.Log.Warn("connection to peer refused", "peer", l.peer, "cause", keys.CauseOf(err), "error", err)
		return nil, err
	}
	d := net.Dialer{Timeout: n.deps.IOTimeout}
	raw, err := d.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "connection to peer failed"), "dial", string(l.peer))
	}
	if n.deps.Keys == nil {
		return raw, nil
	}
	c := tls.Client(raw, n.deps.Keys.PeerClient(l.peer))
	if err := n.handshake(ctx, c, dialing); err != nil {
		_ = raw.Close()
		n.deps.Log.Warn("connection to peer refused", "peer", l.peer, "cause", keys.CauseOf(err), "error", err)
		return nil, pimentospread.At(pimentospread.ErrRefused.Wrap(err, "TLS handshake with peer failed"), "dial", string(l.peer))
	}
	return c, nil
}

// closedByPeer returns the reason why the peer closed the connection. In TLS 1.3
// the dialing side receives the alert for a rejected certificate only after its
// own handshake has completed.
func (l *link) closedByPeer(err error) error {
	if !keys.IsRemoteAlert(err) {
		return pimentospread.At(pimentospread.ErrClosed.New("peer closed the connection"), "send", string(l.peer))
	}
	l.network.metrics.handshake(dialing, err)
	l.network.deps.Log.Warn("peer refused the connection", "peer", l.peer, "cause", keys.CauseRemote, "error", err)
	return pimentospread.At(pimentospread.ErrRefused.Wrap(err, "peer refused the certificate"), "send", string(l.peer))
}

// writeFailed returns the reason for a failed write. When the peer has closed the
// connection, the reading goroutine has closed this side too, and its error is
// more specific.
func (l *link) writeFailed(err error, ended <-chan error) error {
	select {
	case cause := <-ended:
		return l.closedByPeer(cause)
	default:
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "write to peer failed"), "send", string(l.peer))
	}
}

// authenticate completes the TLS handshake of an accepted connection and returns
// it with the host in the peer's certificate. Without keys it returns the plain
// connection and no host.
func (n *Network) authenticate(ctx context.Context, raw net.Conn) (net.Conn, pimentospread.HostID, error) {
	if n.deps.Keys == nil {
		return raw, "", nil
	}
	c := tls.Server(raw, n.deps.Keys.PeerServer())
	if err := n.handshake(ctx, c, accepting); err != nil {
		return raw, "", err
	}
	i, valid, err := n.deps.Keys.PeerIdentity(c.ConnectionState())
	if err != nil {
		return raw, "", err
	}
	// The connection must not outlive the peer's certificate.
	age := min(n.deps.RenewAfter+renewGrace, valid)
	return c, i.Host, c.SetReadDeadline(time.Now().Add(age))
}

// handshake runs the handshake with a timeout, so that a silent peer cannot keep
// a connection open.
func (n *Network) handshake(ctx context.Context, c *tls.Conn, d side) error {
	ctx, cancel := context.WithTimeout(ctx, n.deps.IOTimeout)
	defer cancel()
	err := c.HandshakeContext(ctx)
	n.metrics.handshake(d, err)
	return err
}
