// Package udp sends and receives datagrams over UDP sockets.
package udp

import (
	"errors"
	"net"
	"net/netip"

	"pimentospread"
)

// socketBufferBytes holds about 10 ms of packets at 100,000 packets per second.
const socketBufferBytes = 4 << 20

// Socket is a UDP socket that implements pimentospread.Fabric.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a UDP socket that is bound to the address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot listen on UDP address"), "listen", address.String())
	}
	// The kernel may grant smaller buffers, which the socket can work with.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &Socket{conn: conn}, nil
}

// Receive waits for a datagram, copies it into the buffer and returns its length
// and its sender. It returns ErrClosed after Close.
func (s *Socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	if errors.Is(err, net.ErrClosed) {
		return 0, from, pimentospread.At(pimentospread.ErrClosed.Wrap(err, "receive on a closed socket"), "receive", "")
	}
	if err != nil {
		return 0, from, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot receive datagram"), "receive", "")
	}
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), nil
}

// Send sends the data as one datagram.
func (s *Socket) Send(data []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot send datagram"), "send", to.String())
	}
	return nil
}

// Close closes the socket. A pending Receive returns ErrClosed.
func (s *Socket) Close() error { return s.conn.Close() }

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
