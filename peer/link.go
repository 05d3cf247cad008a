package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/ring"
)

// link is the sending side to one peer.
type link struct {
	network *Network
	peer    pimentospread.HostID
	address netip.AddrPort
	queue   *ring.Ring[pimentospread.Message]
	// stop ends the duty of the link. Only the owner of the set of peers calls it.
	stop context.CancelFunc
}

func newLink(n *Network, peer pimentospread.HostID, address netip.AddrPort, stop context.CancelFunc) *link {
	return &link{
		network: n,
		peer:    peer,
		address: address,
		queue:   ring.New[pimentospread.Message](n.deps.QueueLength, ring.DropOldest),
		stop:    stop,
	}
}

// run dials the peer and sends what waits, until the link is stopped.
func (l *link) run(ctx context.Context) error {
	defer l.stop()
	delay := l.network.deps.MinRedialDelay
	for ctx.Err() == nil {
		lasted, err := l.connect(ctx)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		if lasted {
			delay = l.network.deps.MinRedialDelay
		}
		l.network.deps.Log.Debug("connection to peer ended", "peer", l.peer, "error", err)
		pause(ctx, delay)
		delay = min(2*delay, l.network.deps.MaxRedialDelay)
	}
	return nil
}

// connect dials once and sends until the connection fails. It reports whether
// the connection lasted: a peer that accepts and then refuses the certificate
// or a frame would otherwise be dialed each FirstDelay, with a handshake each time.
func (l *link) connect(ctx context.Context) (bool, error) {
	c, err := l.dial(ctx)
	if err != nil {
		l.discard()
		return false, err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	// A peer never writes on this connection, so a read returns only when it is closed.
	// Without it a dead connection takes messages until a write fails.
	ended := make(chan error, 1)
	go func() {
		defer close(ended)
		_, err := c.Read(make([]byte, 1))
		ended <- err
		_ = c.Close()
	}()
	defer func() {
		_ = c.Close()
		for range ended { //nolint:revive // waits until the reader has ended
		}
	}()
	began := time.Now()
	err = l.drain(ctx, c, ended)
	return time.Since(began) >= l.network.deps.MaxRedialDelay, err
}

// discard drops what waits for a peer that does not accept. Otherwise a peer
// that returns after a long time gets a burst of old heartbeats.
func (l *link) discard() {
	for {
		select {
		case <-l.queue.Items():
			l.network.metrics.dropped("unreachable")
		default:
			return
		}
	}
}

func (l *link) drain(ctx context.Context, c net.Conn, ended <-chan error) error {
	renew, stop := l.network.renewal()
	defer stop()
	w := bufio.NewWriter(c)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return l.ended(err)
		case <-renew:
			return renewed(w.Flush())
		case m := <-l.queue.Items():
			if err := l.write(c, w, m); err != nil {
				return l.broken(err, ended)
			}
		}
	}
}

// write sends a message, and flushes when no other one waits.
func (l *link) write(c net.Conn, w *bufio.Writer, m pimentospread.Message) error {
	n := l.network
	frame, err := Encode(n.deps.Self, n.deps.Incarnation, m)
	if err != nil {
		n.metrics.dropped("encode")
		n.deps.Log.Error("message is not sent", "peer", l.peer, "kind", m.MessageKind(), "error", err)
		return nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(n.deps.IOTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(frame); err != nil {
		return err
	}
	n.metrics.sent(m.MessageKind(), len(frame))
	if l.queue.Len() > 0 {
		return nil
	}
	return w.Flush()
}
