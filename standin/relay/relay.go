// Package relay is a stand-in for the network between the hosts of a cell. Peer
// connections pass through it, and it can isolate one failure domain from the
// others.
package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/member"
)

const (
	// maxFrame is above the size of the largest frame between two hosts.
	maxFrame    = 2 << 20
	dialTimeout = time.Second
	copyBuffer  = 64 << 10
)

// Relay forwards connections to the peer addresses of all hosts.
type Relay struct {
	// listeners accept the connections to the hosts, in the order of the roster.
	listeners []net.Listener
	// roster holds the hosts with their own peer addresses. It is replaced as a whole.
	roster atomic.Pointer[member.Roster]
	// isolated is the failure domain that is isolated. It is empty when none is.
	isolated atomic.Pointer[pimentospread.FailureDomain]
	// Lost counts the reads whose data was dropped.
	Lost atomic.Uint64
}

// route holds the failure domains of the sending and the receiving host.
type route struct{ from, to pimentospread.FailureDomain }

// New returns a relay with listeners for the given number of hosts.
func New(ctx context.Context, count int) (*Relay, error) {
	r := &Relay{}
	r.roster.Store(&member.Roster{})
	r.Isolate("")
	for range count {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "TCP listener cannot be opened"), "listen", "")
		}
		r.listeners = append(r.listeners, l)
	}
	return r, nil
}

// Isolate drops all data between the failure domain and the others. An empty one
// ends the isolation.
func (r *Relay) Isolate(d pimentospread.FailureDomain) { r.isolated.Store(&d) }

// SetRoster sets the hosts with their own peer addresses, and returns them with
// the relay's addresses instead.
func (r *Relay) SetRoster(m member.Roster) (member.Roster, error) {
	if len(m.Hosts) > len(r.listeners) {
		return member.Roster{}, pimentospread.At(pimentospread.ErrInvalid.New("the relay has listeners for %d hosts, but the roster has %d", len(r.listeners), len(m.Hosts)), "roster", "")
	}
	r.roster.Store(&m)
	relayed := m
	relayed.Hosts = append([]member.Host(nil), m.Hosts...)
	for i := range relayed.Hosts {
		relayed.Hosts[i].PeerAddress = r.listeners[i].Addr().(*net.TCPAddr).AddrPort()
	}
	return relayed, nil
}

// Start starts one duty for each listener, which starts two more for each connection.
func (r *Relay) Start(g *duty.Group) {
	for i, l := range r.listeners {
		g.Go("relay", func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = l.Close() })
			defer stop()
			for {
				c, err := l.Accept()
				if err != nil {
					return nil //nolint:nilerr // the listener was closed
				}
				g.Go("connection", func(ctx context.Context) error {
					r.serve(ctx, g, i, c)
					return nil
				})
			}
		})
	}
}

// serve reads the first frame, which names the host that opened the connection,
// and forwards the connection to the host with the given index.
func (r *Relay) serve(ctx context.Context, g *duty.Group, index int, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	frame, sender, err := readFirstFrame(c)
	hosts := r.roster.Load().Hosts
	if err != nil || index >= len(hosts) {
		return
	}
	p := route{from: domainOf(hosts, sender), to: hosts[index].FailureDomain}
	upstream, err := dial(ctx, hosts[index].PeerAddress)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	g.Go("connection back", func(context.Context) error {
		r.forward(c, upstream, p)
		return nil
	})
	r.forward(upstream, io.MultiReader(bytes.NewReader(frame), c), p)
}

func dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", to.String())
}

// forward copies data until either side closes. While the route is blocked, it
// drops the data and keeps the connection open, as a switch that drops packets
// does. A connection that lost data has a gap in its stream, so it is closed when
// the isolation ends.
func (r *Relay) forward(to io.WriteCloser, from io.Reader, p route) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, copyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isBlocked(p) {
			lost = true
			r.Lost.Add(1)
			continue
		}
		if lost {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// isBlocked reports whether exactly one end of the route is in the isolated failure domain.
func (r *Relay) isBlocked(p route) bool {
	isolated := *r.isolated.Load()
	return isolated != "" && (p.from == isolated) != (p.to == isolated)
}

// readFirstFrame returns the first frame with its length prefix, and the sender
// that its envelope names.
func readFirstFrame(c io.Reader) ([]byte, pimentospread.HostID, error) {
	var length [4]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, "", err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return nil, "", pimentospread.At(pimentospread.ErrInvalid.New("first frame has %d bytes, which is above the limit", n), "read", "")
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, "", err
	}
	d := msgpack.NewDecoder(bytes.NewReader(body))
	if _, err := d.DecodeArrayLen(); err != nil {
		return nil, "", err
	}
	sender, err := d.DecodeString()
	return append(length[:], body...), pimentospread.HostID(sender), err
}

func domainOf(hosts []member.Host, id pimentospread.HostID) pimentospread.FailureDomain {
	for _, h := range hosts {
		if h.ID == id {
			return h.FailureDomain
		}
	}
	return ""
}
