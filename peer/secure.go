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

// renewGrace is how long after RenewAfter the receiving side closes a connection
// that the sender has not renewed. A message that is on its way then is lost, so
// the sender gets time to be first.
const renewGrace = time.Minute

// errRenewed says that a connection ended because of its age.
var errRenewed = errors.New("connection reached its age")

// renewed keeps the error of the last flush, which means that messages are lost.
func renewed(err error) error {
	if err != nil {
		return err
	}
	return errRenewed
}

// renewal returns a channel that fires when a connection is to be replaced. The
// time varies by a tenth, so that the connections of a host that has just
// started are not all renewed at once.
func (n *Network) renewal() (<-chan time.Time, func() bool) {
	if n.deps.Keys == nil {
		return nil, func() bool { return true }
	}
	age := n.deps.RenewAfter
	t := time.NewTimer(age - rand.N(age/10+1))
	return t.C, t.Stop
}

// dial opens a connection to the peer and checks that it is the peer's.
func (l *link) dial(ctx context.Context) (net.Conn, error) {
	n := l.network
	if n.deps.Keys == nil && !n.deps.TrustedNetwork && !l.address.Addr().Unmap().IsLoopback() {
		err := keys.NewPlaintextError(l.peer, l.address)
		n.metrics.handshake(dialing, err)
		n.deps.Log.Warn("connection to peer refused", "peer", l.peer, "cause", keys.CauseOf(err), "error", err)
		return nil, err
	}
	d := net.Dialer{Timeout: n.deps.IOTimeout}
	raw, err := d.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "peer does not accept"), "dial", string(l.peer))
	}
	if n.deps.Keys == nil {
		return raw, nil
	}
	c := tls.Client(raw, n.deps.Keys.PeerClient(l.peer))
	if err := n.handshake(ctx, c, dialing); err != nil {
		_ = raw.Close()
		n.deps.Log.Warn("connection to peer refused", "peer", l.peer, "cause", keys.CauseOf(err), "error", err)
		return nil, pimentospread.At(pimentospread.ErrRefused.Wrap(err, "handshake failed"), "dial", string(l.peer))
	}
	return c, nil
}

// ended returns why the peer closed the connection. In TLS 1.3 the dialing side
// learns only after its handshake that the peer refuses its certificate.
func (l *link) ended(err error) error {
	if !keys.IsRemoteAlert(err) {
		return pimentospread.At(pimentospread.ErrClosed.New("peer closed the connection"), "send", string(l.peer))
	}
	l.network.metrics.handshake(dialing, err)
	l.network.deps.Log.Warn("peer refused the connection", "peer", l.peer, "cause", keys.CauseRemote, "error", err)
	return pimentospread.At(pimentospread.ErrRefused.Wrap(err, "peer refused the certificate"), "send", string(l.peer))
}

// broken returns why a write failed. The reader closes the connection when the
// peer ends it, and its error then says more.
func (l *link) broken(err error, ended <-chan error) error {
	select {
	case cause := <-ended:
		return l.ended(cause)
	default:
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "peer does not take messages"), "send", string(l.peer))
	}
}

// authenticate returns the connection and the host in the peer's certificate.
// Without keys the host is empty.
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
	// The end of the certificate ends the connection as well.
	age := min(n.deps.RenewAfter+renewGrace, valid)
	return c, i.Host, c.SetReadDeadline(time.Now().Add(age))
}

// handshake bounds the handshake, so that a silent peer does not hold a connection.
func (n *Network) handshake(ctx context.Context, c *tls.Conn, d side) error {
	ctx, cancel := context.WithTimeout(ctx, n.deps.IOTimeout)
	defer cancel()
	err := c.HandshakeContext(ctx)
	n.metrics.handshake(d, err)
	return err
}
