package host

import (
	"errors"
	"net"
	"net/netip"

	"pimentospread"
)

// socketBuffer holds the packets of about 10 ms at 100,000 packets a second.
const socketBuffer = 4 << 20

// socket is a UDP socket that implements pimentospread.Fabric.
type socket struct {
	conn *net.UDPConn
}

func listen(address netip.AddrPort) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "UDP address cannot be used"), "listen", address.String())
	}
	// The kernel may grant less; the socket works with what it gets.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &socket{conn: conn}, nil
}

// Receive waits for one datagram.
func (s *socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
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
func (s *socket) Send(data []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "datagram not sent"), "send", to.String())
	}
	return nil
}

// Close ends a waiting Receive.
func (s *socket) Close() error { return s.conn.Close() }

func (s *socket) address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
