package pimentospread

import "net/netip"

// Fabric sends and receives encapsulated packets between callers, hosts and targets.
type Fabric interface {
	// Receive waits for one datagram, stores it in the buffer and returns its length
	// and sender. It returns an error of type ErrClosed after Close.
	Receive(buffer []byte) (int, netip.AddrPort, error)
	// Send sends one datagram.
	Send(datagram []byte, to netip.AddrPort) error
	// Close closes the fabric and unblocks a waiting Receive.
	Close() error
}
