package coap

import (
	"bytes"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread/request"
)

// notRunDiagnostic is the diagnostic payload of each 5.03 response to a caller.
const notRunDiagnostic = "not run"

// EncodeReply encodes a reply to a caller. For a confirmable request, the first
// part of an answer or any other outcome is piggybacked on the acknowledgement;
// further parts are separate messages. If a target failed with an error payload,
// that payload is sent instead of the Reason.
func (e *Encoder) EncodeReply(r request.Reply) ([]byte, error) {
	if r.Outcome == request.Accepted {
		return e.EncodeAcknowledgement(r.Origin)
	}
	m := message.Message{Type: message.NonConfirmable, Token: r.Origin.Token, Payload: []byte(r.Reason)}
	if r.Origin.Confirmable && (r.Outcome != request.Answered || r.Part.Number == 0) {
		m.Type, m.MessageID = message.Acknowledgement, int32(r.Origin.MessageID)
	} else {
		m.MessageID = int32(e.nextMessageID())
	}
	switch r.Outcome {
	case request.Answered:
		options, err := partOptions(r.Part)
		if err != nil {
			return nil, err
		}
		m.Code, m.Options, m.Payload = codes.Content, options, r.Part.Payload
	case request.TargetFailed:
		m.Code = codes.InternalServerError
		if len(r.Part.Payload) > 0 {
			m.Payload = r.Part.Payload
		}
	case request.NotRun:
		m.Code, m.Payload = codes.ServiceUnavailable, []byte(notRunDiagnostic)
	case request.Unknown:
		m.Code = codes.GatewayTimeout
	case request.Malformed:
		m.Code = codes.BadRequest
	default:
		return nil, encodeError("outcome %d has no CoAP response code", r.Outcome)
	}
	return e.write(m)
}

// EncodeAcknowledgement encodes the empty acknowledgement of a confirmable request.
// The caller then stops its retransmissions, and the answer follows as a separate
// message (RFC 7252, section 5.2.2).
func (e *Encoder) EncodeAcknowledgement(o request.Origin) ([]byte, error) {
	if !o.Confirmable {
		return nil, encodeError("request with message id %d is not confirmable", o.MessageID)
	}
	return e.write(message.Message{Type: message.Acknowledgement, Code: codes.Empty, MessageID: int32(o.MessageID)})
}

// DecodeAcknowledgement decodes an empty acknowledgement that a caller received and
// returns the message id of the request. Every error is a Cause.
func DecodeAcknowledgement(data []byte) (uint16, error) {
	m, err := parse(data)
	if err != nil {
		return 0, err
	}
	if m.Type != message.Acknowledgement || m.Code != codes.Empty {
		return 0, CauseNotEmptyAck
	}
	return uint16(m.MessageID), nil
}

// DecodeReply decodes a reply that a caller received. Its Origin has only the token,
// the message id and whether the reply is confirmable. Every error is a Cause.
func DecodeReply(data []byte) (request.Reply, error) {
	m, err := parse(data)
	if err != nil {
		return request.Reply{}, err
	}
	if m.Code == codes.Empty {
		return request.Reply{}, CauseEmpty
	}
	if m.Type == message.Reset {
		return request.Reply{}, CauseType
	}
	if !isResponseCode(m.Code) {
		return request.Reply{}, CauseCode
	}
	options, err := readOptions(m.Options)
	if err != nil {
		return request.Reply{}, err
	}
	r := request.Reply{Outcome: outcomeOfReply(m), Origin: request.Origin{
		Token: bytes.Clone(m.Token), MessageID: uint16(m.MessageID), Confirmable: m.Type == message.Confirmable,
	}}
	if r.Outcome != request.Answered {
		r.Reason = string(m.Payload)
		return r, nil
	}
	r.Part = options.part
	r.Part.Payload = bytes.Clone(m.Payload)
	return r, nil
}

// outcomeOfReply returns NotRun only for a 5.03 response with exactly the payload
// "not run". Any other 5.03 leaves open whether the request ran.
func outcomeOfReply(m message.Message) request.Outcome {
	switch {
	case m.Code>>5 == 2:
		return request.Answered
	case m.Code>>5 == 4:
		return request.Malformed
	case m.Code == codes.ServiceUnavailable && string(m.Payload) == notRunDiagnostic:
		return request.NotRun
	case m.Code == codes.ServiceUnavailable, m.Code == codes.GatewayTimeout:
		return request.Unknown
	case m.Code>>5 == 3:
		return request.Unknown
	default:
		return request.TargetFailed
	}
}
