// Package loopback opens the sockets of the stand-ins and calls their HTTP
// endpoints. It refuses every address that is not on loopback, so that a stand-in
// cannot be reached from another machine.
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

// socketBufferSize is large enough for bursts of the thousands of flows of one
// stand-in process.
const socketBufferSize = 4 << 20

// maxDatagramSize is at least the size of the largest UDP datagram.
const maxDatagramSize = 1 << 16

// checkLoopback returns an error if the address is invalid or not on loopback.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "listen address %q is not an address with a port", address), "listen", "")
	}
	if !parsed.Addr().IsLoopback() {
		return pimentospread.At(pimentospread.ErrInvalid.New("listen address %s is not on loopback", parsed), "listen", "")
	}
	return nil
}

// Socket is a UDP socket on loopback. It implements pimentospread.Fabric.
type Socket struct{ conn *net.UDPConn }

var _ pimentospread.Fabric = (*Socket)(nil)

// ListenUDP opens a UDP socket. For port 0, the kernel chooses the port.
func ListenUDP(ctx context.Context, address string) (*Socket, error) {
	if err := checkLoopback(address); err != nil {
		return nil, err
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP socket cannot be opened"), "listen", address)
	}
	udp := conn.(*net.UDPConn)
	// The kernel may grant smaller buffers, with which the socket works, too.
	_ = udp.SetReadBuffer(socketBufferSize)
	_ = udp.SetWriteBuffer(socketBufferSize)
	return &Socket{udp}, nil
}

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort {
	return unmap(s.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap converts an IPv4-mapped IPv6 address, which package net may return, to an IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Receive waits for one datagram, copies it to the buffer and returns its length and sender.
func (s *Socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	switch {
	case errors.Is(err, net.ErrClosed):
		return 0, netip.AddrPort{}, pimentospread.At(pimentospread.ErrClosed.Wrap(err, "UDP socket is closed"), "receive", "")
	case err != nil:
		return 0, netip.AddrPort{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP socket cannot receive"), "receive", "")
	}
	return n, unmap(from), nil
}

// Send sends one datagram.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP datagram cannot be sent"), "send", to.String())
	}
	return nil
}

// Close closes the socket. A waiting Receive returns ErrClosed.
func (s *Socket) Close() error { return s.conn.Close() }

// Datagram is a received datagram with the address of its sender.
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
		buffer := make([]byte, maxDatagramSize)
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

// ListenHTTP opens a TCP listener and returns a server that passes requests to the
// handler once Serve runs. For port 0, the kernel chooses the port.
func ListenHTTP(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	if err := checkLoopback(address); err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "TCP listener cannot be opened"), "listen", address)
	}
	return &Server{listener, &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}}, nil
}

// Address returns the local address of the listener.
func (s *Server) Address() netip.AddrPort {
	return unmap(s.listener.Addr().(*net.TCPAddr).AddrPort())
}

// Serve is the duty that handles requests until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "HTTP server stopped unexpectedly"), "serve", "")
	}
	return nil
}
