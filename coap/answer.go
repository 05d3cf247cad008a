package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread/request"
)

// EncodeAnswer writes an answer as a target sends it.
func (e *Encoder) EncodeAnswer(a request.Answer) ([]byte, error) {
	m := message.Message{
		Type: message.NonConfirmable, MessageID: int32(e.messageID()),
		Token: attemptToken(a.Attempt), Payload: a.Part.Payload,
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
		return nil, failed("answer kind %d has no response code", a.Kind)
	}
	return e.write(m)
}

// DecodeAnswer reads an answer of a target. Only 5.03 proves that the request
// did not run; 4.xx finds the request wrong, and every other error counts as
// one that the target ran into. The error is a Cause.
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
	if !isResponse(m.Code) {
		return request.Answer{}, CauseCode
	}
	id, err := attemptOf(m.Token)
	if err != nil {
		return request.Answer{}, err
	}
	f, err := readOptions(m.Options)
	if err != nil {
		return request.Answer{}, err
	}
	a := request.Answer{Attempt: id, From: target, Kind: request.Failed, Part: f.part}
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
