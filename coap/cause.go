// Package coap is the codec of requests and their answers: CoAP (RFC 7252)
// between callers, hosts and targets. It takes no decisions. Decoded values
// own their memory.
package coap

// Cause says why a message could not be decoded. It is the label of the drop counter.
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

// Error returns the cause with its context.
func (c Cause) Error() string { return "CoAP message is malformed: " + string(c) }

// Answerable says that the message is a request whose header was read, so
// that the sender can be told. Other messages are dropped silently (RFC 7252, section 4.2).
func (c Cause) Answerable() bool {
	switch c {
	case CauseHeader, CauseEmpty, CauseType, CauseCode, CauseNotReset, CauseNotEmptyAck:
		return false
	default:
		return true
	}
}
