// Package udp opens the sockets that carry datagrams.
package udp

import (
	"errors"
	"net"
	"net/netip"

	"pimentospread"
)

// socketBuffer holds the packets of about 10 ms at 100,000 packets a second.
const socketBuffer = 4 << 20

// Socket is a UDP socket that implements pimentospread.Fabric.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at the address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP address cannot be used"), "listen", address.String())
	}
	// The kernel may grant less; the socket works with what it gets.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &Socket{conn: conn}, nil
}

// Receive waits for one datagram.
func (s *Socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	if errors.Is(err, net.ErrClosed) {
		return 0, from, pimentospread.At(pimentospread.ErrClosed.Wrap(err, "socket is closed"), "receive", "")
	}
	if err != nil {
		return 0, from, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "datagram not received"), "receive", "")
	}
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), nil
}

// Send sends one datagram.
func (s *Socket) Send(data []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "datagram not sent"), "send", to.String())
	}
	return nil
}

// Close ends a waiting Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Address returns the address at which the socket listens.
func (s *Socket) Address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
