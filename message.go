package pimentospread

// MessageKind names a kind of message between hosts. It is the Kind field of the envelope.
type MessageKind string

// Message is a message between hosts. Its implementations are in the packages of the
// aggregates and have msgpack tags; package peer encodes them.
type Message interface {
	// MessageKind returns the kind with which the message is encoded.
	MessageKind() MessageKind
}

// Outbound is a message to a peer.
type Outbound struct {
	To      HostID
	Message Message
}

// Inbound is a message from a peer.
type Inbound struct {
	From        HostID
	Incarnation Incarnation
	Message     Message
}
