// Package relay is a small stand-in of the network between the hosts of a cell.
// Peer connections pass through it, and it can be told to cut one failure
// domain off from the others.
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
	// maxFrame is above the largest frame between two hosts.
	maxFrame    = 2 << 20
	dialTimeout = time.Second
	copyBuffer  = 64 << 10
)

// Relay stands in front of the peer addresses of all hosts.
type Relay struct {
	fronts []net.Listener
	// roster has the true addresses and is replaced as a whole.
	roster atomic.Pointer[member.Roster]
	// cut is the failure domain that is cut off; empty when the network is whole.
	cut atomic.Pointer[pimentospread.FailureDomain]
	// Lost counts the reads whose bytes were dropped.
	Lost atomic.Uint64
}

// path is the way of one connection between two failure domains.
type path struct{ from, to pimentospread.FailureDomain }

// New opens a relay with room for the given number of hosts.
func New(ctx context.Context, count int) (*Relay, error) {
	r := &Relay{}
	r.roster.Store(&member.Roster{})
	r.Cut("")
	for range count {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "TCP listener"), "listen", "")
		}
		r.fronts = append(r.fronts, l)
	}
	return r, nil
}

// Cut cuts the failure domain off from all others. An empty one heals the network.
func (r *Relay) Cut(d pimentospread.FailureDomain) { r.cut.Store(&d) }

// SetRoster takes the hosts with their true peer addresses and returns them
// with the addresses of the relay.
func (r *Relay) SetRoster(m member.Roster) (member.Roster, error) {
	if len(m.Hosts) > len(r.fronts) {
		return member.Roster{}, pimentospread.At(pimentospread.ErrInvalid.New("the relay has room for %d hosts, not for %d", len(r.fronts), len(m.Hosts)), "roster", "")
	}
	r.roster.Store(&m)
	front := m
	front.Hosts = append([]member.Host(nil), m.Hosts...)
	for i := range front.Hosts {
		front.Hosts[i].PeerAddress = r.fronts[i].Addr().(*net.TCPAddr).AddrPort()
	}
	return front, nil
}

// Start starts a duty for each host; each connection has two more.
func (r *Relay) Start(g *duty.Group) {
	for i, l := range r.fronts {
		g.Go("relay", func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = l.Close() })
			defer stop()
			for {
				c, err := l.Accept()
				if err != nil {
					return nil //nolint:nilerr // the listener was closed
				}
				g.Go("connection", func(ctx context.Context) error {
					r.connect(ctx, g, i, c)
					return nil
				})
			}
		})
	}
}

// connect reads the first frame, which names the host that has dialed, and
// passes the connection on to the host behind the front.
func (r *Relay) connect(ctx context.Context, g *duty.Group, front int, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	frame, sender, err := readFirst(c)
	hosts := r.roster.Load().Hosts
	if err != nil || front >= len(hosts) {
		return
	}
	p := path{from: domainOf(hosts, sender), to: hosts[front].FailureDomain}
	back, err := dial(ctx, hosts[front].PeerAddress)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	g.Go("connection back", func(context.Context) error {
		r.pass(c, back, p)
		return nil
	})
	r.pass(back, io.MultiReader(bytes.NewReader(frame), c), p)
}

func dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", to.String())
}

// pass copies until either end closes. While the path is cut the bytes are
// dropped and the connection stays open, as behind a switch that drops packets.
// A connection that lost bytes is not whole any more and is closed on healing.
func (r *Relay) pass(to io.WriteCloser, from io.Reader, p path) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, copyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.crosses(p) {
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

func (r *Relay) crosses(p path) bool {
	cut := *r.cut.Load()
	return cut != "" && (p.from == cut) != (p.to == cut)
}

// readFirst returns the first frame with its length, and the sender in its envelope.
func readFirst(c io.Reader) ([]byte, pimentospread.HostID, error) {
	var length [4]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, "", err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return nil, "", pimentospread.At(pimentospread.ErrInvalid.New("frame of %d bytes", n), "read", "")
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
