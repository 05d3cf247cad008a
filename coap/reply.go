package coap

import (
	"bytes"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread/request"
)

// notRun is the diagnostic payload of every 5.03 towards a caller.
const notRun = "not run"

// EncodeReply writes a reply to a caller. The first part of an answer to a
// confirmable request, and any other outcome of it, is carried by the
// acknowledgement; further parts are messages of their own. The error of a
// target is passed on instead of the reason.
func (e *Encoder) EncodeReply(r request.Reply) ([]byte, error) {
	if r.Outcome == request.Accepted {
		return e.EncodeAcknowledgement(r.Origin)
	}
	m := message.Message{Type: message.NonConfirmable, Token: r.Origin.Token, Payload: []byte(r.Reason)}
	if r.Origin.Confirmable && (r.Outcome != request.Answered || r.Part.Number == 0) {
		m.Type, m.MessageID = message.Acknowledgement, int32(r.Origin.MessageID)
	} else {
		m.MessageID = int32(e.messageID())
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
		m.Code, m.Payload = codes.ServiceUnavailable, []byte(notRun)
	case request.Unknown:
		m.Code = codes.GatewayTimeout
	case request.Malformed:
		m.Code = codes.BadRequest
	default:
		return nil, failed("outcome %d has no response code", r.Outcome)
	}
	return e.write(m)
}

// EncodeAcknowledgement writes the empty acknowledgement that tells the caller
// of a confirmable request to stop its retransmissions, because the answer
// follows as a message of its own (RFC 7252, section 5.2.2).
func (e *Encoder) EncodeAcknowledgement(o request.Origin) ([]byte, error) {
	if !o.Confirmable {
		return nil, failed("request with message id %d is not confirmable", o.MessageID)
	}
	return e.write(message.Message{Type: message.Acknowledgement, Code: codes.Empty, MessageID: int32(o.MessageID)})
}

// DecodeAcknowledgement reads an empty acknowledgement as a caller receives it
// and returns the message id of the request. The error is a Cause.
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

// DecodeReply reads a reply as a caller receives it. The Origin has only what
// the message holds. The error is a Cause.
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
	if !isResponse(m.Code) {
		return request.Reply{}, CauseCode
	}
	f, err := readOptions(m.Options)
	if err != nil {
		return request.Reply{}, err
	}
	r := request.Reply{Outcome: outcomeOf(m), Origin: request.Origin{
		Token: bytes.Clone(m.Token), MessageID: uint16(m.MessageID), Confirmable: m.Type == message.Confirmable,
	}}
	if r.Outcome != request.Answered {
		r.Reason = string(m.Payload)
		return r, nil
	}
	r.Part = f.part
	r.Part.Payload = bytes.Clone(m.Payload)
	return r, nil
}

// outcomeOf is cautious: a code that does not say exactly "not run" leaves open whether the request ran.
func outcomeOf(m message.Message) request.Outcome {
	switch {
	case m.Code>>5 == 2:
		return request.Answered
	case m.Code>>5 == 4:
		return request.Malformed
	case m.Code == codes.ServiceUnavailable && string(m.Payload) == notRun:
		return request.NotRun
	case m.Code == codes.ServiceUnavailable, m.Code == codes.GatewayTimeout:
		return request.Unknown
	case m.Code>>5 == 3:
		return request.Unknown
	default:
		return request.TargetFailed
	}
}
