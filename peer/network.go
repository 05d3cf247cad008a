// Package peer sends and receives messages between the hosts of a cell over TCP,
// encoded with msgpack in length-prefixed frames.
package peer

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/keys"
	"pimentospread/ring"
)

// Inbox receives the incoming messages. ring.Ring implements it, and so does a
// router over several rings.
type Inbox interface {
	Put(ctx context.Context, message pimentospread.Inbound) error
}

// Deps are the dependencies of a Network.
type Deps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	// Listener accepts the connections of peers. Run closes it.
	Listener net.Listener
	Registry Registry
	Inbox    Inbox
	Metrics  pimentospread.Metrics
	Log      *slog.Logger
	// QueueCapacity is the maximum number of messages queued for one peer. Zero means 1024.
	QueueCapacity int
	// MinRedialDelay and MaxRedialDelay bound the delay between two dials of a peer.
	// Zero means 50 ms and 2 s.
	MinRedialDelay, MaxRedialDelay time.Duration
	// IOTimeout limits one dial, one handshake or one write. Zero means 2 s, after
	// which the cell considers the peer dead anyway.
	IOTimeout time.Duration
	// Keys authenticate both sides of each connection. Nil means plain TCP, which
	// is dialed only to loopback addresses unless AllowPlaintext is set.
	Keys *keys.Store
	// AllowPlaintext allows plain connections to addresses that are not loopback
	// addresses, for networks that only hosts of the cell can reach.
	AllowPlaintext bool
	// RenewAfter is the age at which a TLS connection is replaced, so that rotated
	// keys come into use and expired ones go out of use. Zero means 1 h, which
	// causes 720 handshakes a day for 15 peers, besides 240 for restarts of a host.
	RenewAfter time.Duration
}

// Network implements pimentospread.PeerNetwork over TCP. Each peer has a link with a
// queue, which drops its oldest messages when it is full, and a connection that is
// redialed with an exponential delay. Peers send on connections of their own.
type Network struct {
	deps    Deps
	metrics *metrics
	// changes holds at most one set of peers, since only the newest one is relevant.
	changes *ring.Ring[map[pimentospread.HostID]netip.AddrPort]
	// links is replaced as a whole, only by the duty that manages the links.
	links atomic.Pointer[map[pimentospread.HostID]*link]
}

var _ pimentospread.PeerNetwork = (*Network)(nil)

// NewNetwork returns a network without peers. It sets the defaults of d.
func NewNetwork(d Deps) *Network {
	if d.QueueCapacity == 0 {
		d.QueueCapacity = 1024
	}
	if d.MinRedialDelay == 0 {
		d.MinRedialDelay = 50 * time.Millisecond
	}
	if d.MaxRedialDelay == 0 {
		d.MaxRedialDelay = 2 * time.Second
	}
	if d.IOTimeout == 0 {
		d.IOTimeout = 2 * time.Second
	}
	if d.RenewAfter == 0 {
		d.RenewAfter = time.Hour
	}
	n := &Network{
		deps:    d,
		metrics: newMetrics(d.Metrics, d.Registry),
		changes: ring.New[map[pimentospread.HostID]netip.AddrPort](1, ring.DropOldest),
	}
	n.links.Store(&map[pimentospread.HostID]*link{})
	return n
}

// SetPeers replaces the set of peers. It does not wait until they are connected.
func (n *Network) SetPeers(ctx context.Context, peers map[pimentospread.HostID]netip.AddrPort) error {
	return n.changes.Put(ctx, maps.Clone(peers))
}

// Send queues a message for a peer and does not wait for its delivery.
func (n *Network) Send(ctx context.Context, m pimentospread.Outbound) error {
	l, ok := (*n.links.Load())[m.To]
	if !ok {
		n.metrics.dropped("no_peer")
		return pimentospread.At(pimentospread.ErrNotFound.New("host is not a peer"), "send", string(m.To))
	}
	return l.queue.Put(ctx, m.Message)
}

// Dropped returns the number of messages dropped from the queue of each peer.
func (n *Network) Dropped() map[pimentospread.HostID]uint64 {
	dropped := map[pimentospread.HostID]uint64{}
	for id, l := range *n.links.Load() {
		dropped[id] = l.queue.Refused()
	}
	return dropped
}

// Run accepts and dials connections until ctx ends and then waits for all its duties.
func (n *Network) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx, n.deps.Log)
	stop := context.AfterFunc(g.Context(), func() { _ = n.deps.Listener.Close() })
	defer stop()
	g.Go("peer accept", func(ctx context.Context) error { return n.accept(ctx, g) })
	g.Go("peer set", func(ctx context.Context) error { return n.manageLinks(ctx, g) })
	return g.Wait()
}

// manageLinks applies each new set of peers. Only its duty changes the links.
func (n *Network) manageLinks(ctx context.Context, g *duty.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case want := <-n.changes.Items():
			n.applyPeers(g, want)
		}
	}
}

// applyPeers starts a link to each new peer or address and stops the links that
// are no longer in the set.
func (n *Network) applyPeers(g *duty.Group, want map[pimentospread.HostID]netip.AddrPort) {
	current := *n.links.Load()
	next := make(map[pimentospread.HostID]*link, len(want))
	for id, address := range want {
		if id == n.deps.Self {
			continue
		}
		if l, ok := current[id]; ok && l.address == address {
			next[id] = l
			continue
		}
		ctx, stop := context.WithCancel(g.Context())
		l := newLink(n, id, address, stop)
		next[id] = l
		g.Go("peer send "+string(id), func(context.Context) error { return l.run(ctx) })
	}
	n.links.Store(&next)
	for id, l := range current {
		if next[id] != l {
			l.stop()
		}
	}
}

// accept starts a duty that receives messages for each accepted connection.
func (n *Network) accept(ctx context.Context, g *duty.Group) error {
	delay := n.deps.MinRedialDelay
	for {
		c, err := n.deps.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The error may be temporary, such as a lack of file descriptors.
			n.deps.Log.Warn("accept of peer connection failed", "error", err)
			if !pause(ctx, delay) {
				return nil
			}
			delay = min(2*delay, n.deps.MaxRedialDelay)
			continue
		}
		delay = n.deps.MinRedialDelay
		g.Go("peer receive", func(ctx context.Context) error { return n.receive(ctx, c) })
	}
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
