package peer

import (
	"bufio"
	"context"
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
		queue:   ring.New[pimentospread.Message](n.deps.Queue, ring.DropOldest),
		stop:    stop,
	}
}

// run dials the peer and sends what waits, until the link is stopped.
func (l *link) run(ctx context.Context) error {
	defer l.stop()
	delay := l.network.deps.FirstDelay
	for ctx.Err() == nil {
		sent, err := l.connect(ctx)
		if ctx.Err() != nil {
			break
		}
		if sent {
			delay = l.network.deps.FirstDelay
		}
		l.network.deps.Log.Debug("connection to peer ended", "peer", l.peer, "error", err)
		pause(ctx, delay)
		delay = min(2*delay, l.network.deps.LastDelay)
	}
	return nil
}

// connect dials once and sends until the connection fails. It reports whether anything was sent.
func (l *link) connect(ctx context.Context) (bool, error) {
	d := net.Dialer{Timeout: l.network.deps.Deadline}
	c, err := d.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		l.discard()
		return false, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "peer does not accept"), "dial", string(l.peer))
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	// A peer never writes on this connection, so a read returns only when it is closed.
	// Without it a dead connection takes messages until a write fails.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}()
	defer func() {
		_ = c.Close()
		<-ended
	}()
	return l.drain(ctx, c, ended)
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

func (l *link) drain(ctx context.Context, c net.Conn, ended <-chan struct{}) (bool, error) {
	w := bufio.NewWriter(c)
	sent := false
	for {
		select {
		case <-ctx.Done():
			return sent, nil
		case <-ended:
			return sent, pimentospread.At(pimentospread.ErrClosed.New("peer closed the connection"), "send", string(l.peer))
		case m := <-l.queue.Items():
			if err := l.write(c, w, m); err != nil {
				return sent, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "peer does not take messages"), "send", string(l.peer))
			}
			sent = true
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
	if err := c.SetWriteDeadline(time.Now().Add(n.deps.Deadline)); err != nil {
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
