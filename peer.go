package pimentospread

import "context"

// PeerNetwork sends messages between the hosts of a cell. Delivery is not guaranteed: a
// message to an unreachable peer is dropped and counted.
type PeerNetwork interface {
	// Send queues a message to a peer without waiting for its delivery.
	Send(ctx context.Context, message Outbound) error
}
