// Package coap encodes and decodes requests and their answers as CoAP messages
// (RFC 7252) between callers, hosts and targets. It only converts between bytes and
// values; load-balancing decisions are made elsewhere. Decoded values do not share
// memory with the input.
package coap

// Cause is the reason why a message could not be decoded. The metric of malformed
// messages has it as a label.
type Cause string

// Causes of malformed messages.
const (
	CauseHeader         Cause = "header"
	CauseEmpty          Cause = "empty_message"
	CauseType           Cause = "message_type"
	CauseMethod         Cause = "method"
	CauseCode           Cause = "response_code"
	CauseToken          Cause = "token"
	CauseOption         Cause = "option_value"
	CauseOptionRepeated Cause = "option_repeated"
	CauseCritical       Cause = "critical_option"
	CauseHost           Cause = "uri_host"
	CausePath           Cause = "uri_path"
	CauseRequestID      Cause = "request_id"
	CauseClass          Cause = "class"
	CauseDeadline       Cause = "deadline"
	CauseNotReset       Cause = "not_a_reset"
	CauseNotEmptyAck    Cause = "not_an_empty_acknowledgement"
)

// Error implements error.
func (c Cause) Error() string { return "CoAP message is malformed: " + string(c) }

// Answerable reports whether the message is a request with a valid header, so that
// an error response can be sent. Other messages are dropped silently (RFC 7252,
// section 4.2).
func (c Cause) Answerable() bool {
	switch c {
	case CauseHeader, CauseEmpty, CauseType, CauseCode, CauseNotReset, CauseNotEmptyAck:
		return false
	default:
		return true
	}
}
