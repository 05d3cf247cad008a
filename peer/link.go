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

// link sends messages to one peer.
type link struct {
	network *Network
	peer    pimentospread.HostID
	address netip.AddrPort
	queue   *ring.Ring[pimentospread.Message]
	// stop ends the duty of the link. Only applyPeers and run call it.
	stop context.CancelFunc
}

func newLink(n *Network, peer pimentospread.HostID, address netip.AddrPort, stop context.CancelFunc) *link {
	return &link{
		network: n,
		peer:    peer,
		address: address,
		queue:   ring.New[pimentospread.Message](n.deps.QueueCapacity, ring.DropOldest),
		stop:    stop,
	}
}

// run connects to the peer and sends queued messages until the link is stopped.
// It redials with an exponential delay after a failure.
func (l *link) run(ctx context.Context) error {
	defer l.stop()
	delay := l.network.deps.MinRedialDelay
	for ctx.Err() == nil {
		stable, err := l.connect(ctx)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		if stable {
			delay = l.network.deps.MinRedialDelay
		}
		l.network.deps.Log.Debug("connection to peer ended", "peer", l.peer, "error", err)
		pause(ctx, delay)
		delay = min(2*delay, l.network.deps.MaxRedialDelay)
	}
	return nil
}

// connect dials once and sends until the connection fails. It returns whether
// the connection lasted at least MaxRedialDelay. Only then is the redial delay
// reset: a peer that accepts and then rejects the certificate or a frame would
// otherwise be dialed every MinRedialDelay, with a handshake each time.
func (l *link) connect(ctx context.Context) (bool, error) {
	c, err := l.dial(ctx)
	if err != nil {
		l.discardQueued()
		return false, err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	// The peer never writes to this connection, so Read returns only when the
	// connection is closed. Without the read, messages would be sent to a dead
	// connection until a write fails.
	ended := make(chan error, 1)
	go func() {
		defer close(ended)
		_, err := c.Read(make([]byte, 1))
		ended <- err
		_ = c.Close()
	}()
	defer func() {
		_ = c.Close()
		for range ended { //nolint:revive // waits for the reading goroutine
		}
	}()
	connectedAt := time.Now()
	err = l.sendQueued(ctx, c, ended)
	return time.Since(connectedAt) >= l.network.deps.MaxRedialDelay, err
}

// discardQueued drops the messages queued for an unreachable peer. Otherwise a
// peer that is down for a long time would receive a burst of old heartbeats
// when it returns.
func (l *link) discardQueued() {
	for {
		select {
		case <-l.queue.Items():
			l.network.metrics.dropped("unreachable")
		default:
			return
		}
	}
}

// sendQueued sends messages until ctx ends, the connection fails or it is due
// for renewal.
func (l *link) sendQueued(ctx context.Context, c net.Conn, ended <-chan error) error {
	renew, stop := l.network.renewal()
	defer stop()
	w := bufio.NewWriter(c)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return l.closedByPeer(err)
		case <-renew:
			return errAfterFlush(w.Flush())
		case m := <-l.queue.Items():
			if err := l.write(c, w, m); err != nil {
				return l.writeFailed(err, ended)
			}
		}
	}
}

// write sends a message and flushes the writer when no other message is queued.
func (l *link) write(c net.Conn, w *bufio.Writer, m pimentospread.Message) error {
	n := l.network
	frame, err := Encode(n.deps.Self, n.deps.Incarnation, m)
	if err != nil {
		n.metrics.dropped("encode")
		n.deps.Log.Error("message cannot be encoded for peer", "peer", l.peer, "kind", m.MessageKind(), "error", err)
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
