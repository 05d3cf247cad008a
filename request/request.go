// Package request holds the state of the requests that a host handles: the owner
// elections of non-idempotent requests, the attempts at targets and the answers to
// callers.
package request

import (
	"net/netip"
	"time"

	"pimentospread"
)

// Origin identifies a transmission and the addresses for its replies.
type Origin struct {
	Caller  netip.AddrPort `msgpack:"Caller"`
	Service netip.AddrPort `msgpack:"Service"`
	// Token is the caller's CoAP token.
	Token []byte `msgpack:"Token"`
	// MessageID is the CoAP message id of the transmission.
	MessageID uint16 `msgpack:"MessageID"`
	// Confirmable is true if the caller expects an acknowledgement.
	Confirmable bool `msgpack:"Confirmable"`
}

// Request is one transmission of a request, as received by a host.
type Request struct {
	ID         pimentospread.RequestID
	Origin     Origin
	Service    pimentospread.ServiceID
	Class      pimentospread.Class
	Deadline   time.Time
	Idempotent bool
	// Cancelled is true if the caller cancels the request.
	Cancelled bool
	Path      string
	Payload   []byte
}

// Part is one part of an answer.
type Part struct {
	Number uint32
	// More is true if parts with higher numbers follow.
	More bool
	// Tag is the same for all parts of one run.
	Tag     []byte
	Payload []byte
}

// AnswerKind is the meaning of a target's answer.
type AnswerKind uint8

// Kinds of answers.
const (
	// Done means that the answer is a part of the result.
	Done AnswerKind = iota
	// Shed means that the target refused the request before it ran.
	Shed
	// Failed means that the target ran the request and returned an error.
	Failed
	// Rejected means that the target considers the request invalid. It does not indicate a fault of the target.
	Rejected
)

// Answer is one message from a target about an attempt.
type Answer struct {
	Attempt pimentospread.AttemptID
	// From is the target's request address.
	From netip.AddrPort
	Kind AnswerKind
	Part Part
}

// Outcome is the result of a request as reported to the caller.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered means that the reply carries a part of the target's result.
	Answered Outcome = iota
	// TargetFailed means that the reply carries the target's error.
	TargetFailed
	// NotRun means that the request has not run and will not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Malformed means that the request was refused as invalid.
	Malformed
	// Accepted means that the request is waiting and the answer follows.
	Accepted
)

// Reply is one message to a caller.
type Reply struct {
	Origin  Origin
	Outcome Outcome
	Part    Part
	// Reason explains every outcome except Answered.
	Reason string
}

// Attempt is one transmission of a request to a target.
type Attempt struct {
	ID       pimentospread.AttemptID
	Request  pimentospread.RequestID
	Service  pimentospread.ServiceName
	Target   pimentospread.TargetID
	Address  netip.AddrPort
	Class    pimentospread.Class
	Deadline time.Time
	// Idempotent selects GET instead of POST.
	Idempotent bool
	Path       string
	Payload    []byte
}

// Cancel cancels an attempt at a target.
type Cancel struct {
	Attempt pimentospread.AttemptID
	Address netip.AddrPort
}
