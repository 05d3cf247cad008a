package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread/request"
)

// EncodeAnswer encodes an answer that a target sends.
func (e *Encoder) EncodeAnswer(a request.Answer) ([]byte, error) {
	m := message.Message{
		Type: message.NonConfirmable, MessageID: int32(e.nextMessageID()),
		Token: encodeAttemptToken(a.Attempt), Payload: a.Part.Payload,
	}
	switch a.Kind {
	case request.Done:
		options, err := partOptions(a.Part)
		if err != nil {
			return nil, err
		}
		m.Code, m.Options = codes.Content, options
	case request.Shed:
		m.Code = codes.ServiceUnavailable
	case request.Failed:
		m.Code = codes.InternalServerError
	case request.Rejected:
		m.Code = codes.BadRequest
	default:
		return nil, encodeError("answer kind %d has no CoAP response code", a.Kind)
	}
	return e.write(m)
}

// DecodeAnswer decodes an answer that a target sent. Only code 5.03 proves that
// the request did not run. Codes 4.xx mean that the target rejected the request
// as invalid, and every other error code means that it failed. Every error is a
// Cause.
func DecodeAnswer(data []byte, target netip.AddrPort) (request.Answer, error) {
	m, err := parse(data)
	if err != nil {
		return request.Answer{}, err
	}
	if m.Code == codes.Empty {
		return request.Answer{}, CauseEmpty
	}
	if m.Type == message.Reset {
		return request.Answer{}, CauseType
	}
	if !isResponseCode(m.Code) {
		return request.Answer{}, CauseCode
	}
	id, err := decodeAttemptToken(m.Token)
	if err != nil {
		return request.Answer{}, err
	}
	options, err := readOptions(m.Options)
	if err != nil {
		return request.Answer{}, err
	}
	a := request.Answer{Attempt: id, From: target, Kind: request.Failed, Part: options.part}
	a.Part.Payload = bytes.Clone(m.Payload)
	switch {
	case m.Code>>5 == 2:
		a.Kind = request.Done
	case m.Code>>5 == 4:
		a.Kind = request.Rejected
	case m.Code == codes.ServiceUnavailable:
		a.Kind = request.Shed
	}
	return a, nil
}
