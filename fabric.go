package pimentospread

import "net/netip"

// Fabric carries encapsulated packets between callers, hosts and targets.
type Fabric interface {
	// Receive waits for one datagram and returns its length and sender. It
	// returns an error of type ErrClosed after Close.
	Receive(buffer []byte) (int, netip.AddrPort, error)
	// Send sends one datagram.
	Send(datagram []byte, to netip.AddrPort) error
	// Close ends a waiting Receive.
	Close() error
}
