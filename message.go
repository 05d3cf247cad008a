package pimentospread

// MessageKind names a message between hosts. It is the Kind field of the envelope.
type MessageKind string

// Message is a message between hosts. The types that implement it belong to
// the aggregates and carry msgpack tags; package peer encodes them.
type Message interface {
	// MessageKind returns the name under which the message is encoded.
	MessageKind() MessageKind
}

// Outbound is a message for one peer.
type Outbound struct {
	To      HostID
	Message Message
}

// Inbound is a message from one peer.
type Inbound struct {
	From        HostID
	Incarnation Incarnation
	Message     Message
}
