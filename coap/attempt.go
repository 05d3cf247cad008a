package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread"
	"pimentospread/request"
)

// EncodeAttempt encodes an attempt for a target. The message is non-confirmable,
// because the answer confirms it and a host never retransmits an attempt.
func (e *Encoder) EncodeAttempt(a request.Attempt) ([]byte, error) {
	options, err := requestOptions(optionValues{host: string(a.Service), path: a.Path, request: a.Request, class: a.Class, deadline: a.Deadline})
	if err != nil {
		return nil, err
	}
	m := message.Message{
		Type: message.NonConfirmable, Code: codes.POST, MessageID: int32(MessageID(a.ID)),
		Token: encodeAttemptToken(a.ID), Options: options, Payload: a.Payload,
	}
	if a.Idempotent {
		m.Code = codes.GET
	}
	return e.write(m)
}

// DecodeAttempt decodes an attempt that a target received. The result has no
// TargetID, and its Address is that of the host. Every error is a Cause.
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
	id, err := decodeAttemptToken(m.Token)
	if err != nil {
		return request.Attempt{}, err
	}
	options, err := readOptions(m.Options)
	if err != nil {
		return request.Attempt{}, err
	}
	if err := options.requireRequestOptions(); err != nil {
		return request.Attempt{}, err
	}
	if options.host == "" {
		return request.Attempt{}, CauseHost
	}
	return request.Attempt{
		ID: id, Request: options.request, Service: pimentospread.ServiceName(options.host), Address: host,
		Class: options.class, Deadline: options.deadline, Idempotent: m.Code == codes.GET,
		Path: options.path, Payload: bytes.Clone(m.Payload),
	}, nil
}

// EncodeCancel encodes the CoAP reset that cancels an attempt.
func (e *Encoder) EncodeCancel(c request.Cancel) ([]byte, error) {
	return e.write(message.Message{Type: message.Reset, Code: codes.Empty, MessageID: int32(MessageID(c.Attempt))})
}

// DecodeCancel decodes a reset that a target received and returns the message id
// of the attempt that it cancels. Every error is a Cause.
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
