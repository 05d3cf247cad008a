// Package loopback opens the sockets of the stand-ins. It refuses every
// address outside of loopback, so that a stand-in cannot be reached from another machine.
package loopback

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/duty"
)

// socketBuffer holds the bursts of thousands of flows that one stand-in process carries.
const socketBuffer = 4 << 20

// maxDatagram is the largest UDP datagram.
const maxDatagram = 1 << 16

func check(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "listen address %q", address), "listen", "")
	}
	if !a.Addr().IsLoopback() {
		return pimentospread.At(pimentospread.ErrInvalid.New("listen address %s is not on loopback", a), "listen", "")
	}
	return nil
}

// Socket is a UDP socket on loopback. It implements pimentospread.Fabric.
type Socket struct{ conn *net.UDPConn }

var _ pimentospread.Fabric = (*Socket)(nil)

// ListenUDP opens a UDP socket. Port 0 lets the kernel choose.
func ListenUDP(ctx context.Context, address string) (*Socket, error) {
	if err := check(address); err != nil {
		return nil, err
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP socket"), "listen", address)
	}
	udp := conn.(*net.UDPConn)
	// The kernel may grant less; the socket works with what it gets.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	return &Socket{udp}, nil
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return unmap(s.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap turns the IPv4-mapped form, which the net package may return, into the plain one.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Receive waits for one datagram.
func (s *Socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	switch {
	case errors.Is(err, net.ErrClosed):
		return 0, netip.AddrPort{}, pimentospread.At(pimentospread.ErrClosed.Wrap(err, "UDP socket"), "receive", "")
	case err != nil:
		return 0, netip.AddrPort{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP socket"), "receive", "")
	}
	return n, unmap(from), nil
}

// Send sends one datagram.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP datagram"), "send", to.String())
	}
	return nil
}

// Close ends a waiting Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Datagram is a datagram with its sender.
type Datagram struct {
	From netip.AddrPort
	Data []byte
}

// ReceiveLoop returns a duty that calls handle for each datagram until the context
// ends. The bytes are valid only during the call.
func (s *Socket) ReceiveLoop(handle func(Datagram)) duty.Func {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		buffer := make([]byte, maxDatagram)
		for {
			n, from, err := s.Receive(buffer)
			if err != nil {
				return err
			}
			handle(Datagram{From: from, Data: buffer[:n]})
		}
	}
}

// Server is an HTTP server on loopback.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// ListenHTTP opens a TCP listener. Port 0 lets the kernel choose.
func ListenHTTP(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	if err := check(address); err != nil {
		return nil, err
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "TCP listener"), "listen", address)
	}
	return &Server{l, &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}}, nil
}

// Address returns the local address.
func (s *Server) Address() netip.AddrPort {
	return unmap(s.listener.Addr().(*net.TCPAddr).AddrPort())
}

// Serve is the duty that answers calls until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "HTTP server"), "serve", "")
	}
	return nil
}
