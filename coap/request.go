package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread"
	"pimentospread/request"
)

// Endpoint is the service at the address to which a request was sent.
type Endpoint struct {
	Service pimentospread.ServiceID
	Name    pimentospread.ServiceName
	Address netip.AddrPort
}

// DecodeRequest decodes a request that a caller sent. A GET is an idempotent
// request, a POST is one that is not idempotent, and a DELETE cancels the request
// with its request id. A request without Uri-Host is for the service of its address
// (RFC 7252, section 5.10.1). Every error is a Cause; if it is answerable, the result
// has the Origin to which the error response is sent.
func DecodeRequest(data []byte, caller netip.AddrPort, endpoint Endpoint) (request.Request, error) {
	m, err := parse(data)
	if err == CauseHeader { //nolint:errorlint // a Cause is returned unwrapped
		return request.Request{}, err
	}
	r := request.Request{Service: endpoint.Service, Origin: request.Origin{
		Caller: caller, Service: endpoint.Address, Token: bytes.Clone(m.Token),
		MessageID: uint16(m.MessageID), Confirmable: m.Type == message.Confirmable,
	}}
	if m.Type != message.Confirmable && m.Type != message.NonConfirmable {
		return request.Request{}, CauseType
	}
	if m.Code == codes.Empty {
		return request.Request{}, CauseEmpty
	}
	if isResponseCode(m.Code) {
		return request.Request{}, CauseCode
	}
	if err != nil {
		return r, err
	}
	if err := readRequest(&r, m, endpoint.Name); err != nil {
		return request.Request{Origin: r.Origin, Service: endpoint.Service}, err
	}
	return r, nil
}

func readRequest(r *request.Request, m message.Message, name pimentospread.ServiceName) error {
	switch m.Code {
	case codes.GET:
		r.Idempotent = true
	case codes.POST:
	case codes.DELETE:
		r.Cancelled = true
	default:
		return CauseMethod
	}
	options, err := readOptions(m.Options)
	if err != nil {
		return err
	}
	if err := options.requireRequestOptions(); err != nil {
		return err
	}
	if options.host != "" && options.host != string(name) {
		return CauseHost
	}
	r.ID, r.Class, r.Deadline, r.Path = options.request, options.class, options.deadline, options.path
	r.Payload = bytes.Clone(m.Payload)
	return nil
}

// EncodeRequest encodes a request that a caller sends. The token, the message id and
// whether the message is confirmable are taken from the Origin.
func (e *Encoder) EncodeRequest(r request.Request, name pimentospread.ServiceName) ([]byte, error) {
	options, err := requestOptions(optionValues{host: string(name), path: r.Path, request: r.ID, class: r.Class, deadline: r.Deadline})
	if err != nil {
		return nil, err
	}
	m := message.Message{
		Type: message.NonConfirmable, Code: codes.POST, MessageID: int32(r.Origin.MessageID),
		Token: r.Origin.Token, Options: options, Payload: r.Payload,
	}
	if r.Origin.Confirmable {
		m.Type = message.Confirmable
	}
	if r.Idempotent {
		m.Code = codes.GET
	}
	if r.Cancelled {
		m.Code = codes.DELETE
	}
	return e.write(m)
}
