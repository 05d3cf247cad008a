// Package request holds the requests that a host has taken: claims on
// non-idempotent ones, attempts at targets, and answers to callers.
package request

import (
	"net/netip"
	"time"

	"pimentospread"
)

// Origin is where the reply to a transmission goes.
type Origin struct {
	Caller  netip.AddrPort `msgpack:"Caller"`
	Service netip.AddrPort `msgpack:"Service"`
	// Token is the caller's CoAP token.
	Token []byte `msgpack:"Token"`
	// MessageID is the CoAP message id of the transmission.
	MessageID uint16 `msgpack:"MessageID"`
	// Confirmable says that the caller expects an acknowledgement.
	Confirmable bool `msgpack:"Confirmable"`
}

// Request is one transmission of a request as it arrived at a host.
type Request struct {
	ID         pimentospread.RequestID
	Origin     Origin
	Service    pimentospread.ServiceID
	Class      pimentospread.Class
	Deadline   time.Time
	Idempotent bool
	// Cancelled says that the caller withdraws the request.
	Cancelled bool
	Path      string
	Payload   []byte
}

// Part is one part of an answer.
type Part struct {
	Number uint32
	// More says that parts with higher numbers follow.
	More bool
	// Tag is the same for all parts of one run.
	Tag     []byte
	Payload []byte
}

// AnswerKind is what a target's answer means.
type AnswerKind uint8

// Kinds of answers.
const (
	// Done is one part of the result.
	Done AnswerKind = iota
	// Shed means that the target refused before it started.
	Shed
	// Failed means that the target ran the request and reports an error of its own.
	Failed
	// Rejected means that the target finds the request wrong. It says nothing of the target's health.
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

// Outcome is what a caller is told.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered replies carry a part of the target's result.
	Answered Outcome = iota
	// TargetFailed replies carry the target's error.
	TargetFailed
	// NotRun means that the request never ran and never will.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
	// Malformed means that the request was refused as wrong.
	Malformed
	// Accepted tells the caller that the request waits and the answer follows.
	Accepted
)

// Reply is one message to a caller.
type Reply struct {
	Origin  Origin
	Outcome Outcome
	Part    Part
	// Reason explains any outcome but Answered.
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
	// Idempotent selects GET; otherwise the attempt is a POST.
	Idempotent bool
	Path       string
	Payload    []byte
}

// Cancel withdraws an attempt at a target.
type Cancel struct {
	Attempt pimentospread.AttemptID
	Address netip.AddrPort
}
