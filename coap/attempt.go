package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread"
	"pimentospread/request"
)

// EncodeAttempt writes an attempt for a target. It is not confirmable: the
// answer itself confirms it, and a host never repeats an attempt.
func (e *Encoder) EncodeAttempt(a request.Attempt) ([]byte, error) {
	options, err := requestOptions(fields{host: string(a.Service), path: a.Path, request: a.Request, class: a.Class, deadline: a.Deadline})
	if err != nil {
		return nil, err
	}
	m := message.Message{
		Type: message.NonConfirmable, Code: codes.POST, MessageID: int32(MessageID(a.ID)),
		Token: attemptToken(a.ID), Options: options, Payload: a.Payload,
	}
	if a.Idempotent {
		m.Code = codes.GET
	}
	return e.write(m)
}

// DecodeAttempt reads an attempt as a target receives it. The result has no
// TargetID, and its address is that of the host. The error is a Cause.
func DecodeAttempt(data []byte, host netip.AddrPort) (request.Attempt, error) {
	m, err := parse(data)
	if err != nil {
		return request.Attempt{}, err
	}
	if m.Type != message.Confirmable && m.Type != message.NonConfirmable {
		return request.Attempt{}, CauseType
	}
	if m.Code != codes.GET && m.Code != codes.POST {
		return request.Attempt{}, CauseMethod
	}
	id, err := attemptOf(m.Token)
	if err != nil {
		return request.Attempt{}, err
	}
	f, err := readOptions(m.Options)
	if err != nil {
		return request.Attempt{}, err
	}
	if err := f.requireRequest(); err != nil {
		return request.Attempt{}, err
	}
	if f.host == "" {
		return request.Attempt{}, CauseHost
	}
	return request.Attempt{
		ID: id, Request: f.request, Service: pimentospread.ServiceName(f.host), Address: host,
		Class: f.class, Deadline: f.deadline, Idempotent: m.Code == codes.GET,
		Path: f.path, Payload: bytes.Clone(m.Payload),
	}, nil
}

// EncodeCancel writes the CoAP reset that withdraws an attempt.
func (e *Encoder) EncodeCancel(c request.Cancel) ([]byte, error) {
	return e.write(message.Message{Type: message.Reset, Code: codes.Empty, MessageID: int32(MessageID(c.Attempt))})
}

// DecodeCancel reads a reset as a target receives it and returns the message
// id of the attempt that it withdraws. The error is a Cause.
func DecodeCancel(data []byte) (uint16, error) {
	m, err := parse(data)
	if err != nil {
		return 0, err
	}
	if m.Type != message.Reset || m.Code != codes.Empty {
		return 0, CauseNotReset
	}
	return uint16(m.MessageID), nil
}
