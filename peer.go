package pimentospread

import "context"

// PeerNetwork carries messages between the hosts of a cell. Delivery is not
// guaranteed; a message to a peer that does not answer is dropped and counted.
type PeerNetwork interface {
	// Send queues a message for a peer and does not wait for its delivery.
	Send(ctx context.Context, message Outbound) error
}
