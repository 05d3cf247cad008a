package coap

import (
	"bytes"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"pimentospread"
	"pimentospread/request"
)

// Endpoint is the service behind the address to which a request was sent.
type Endpoint struct {
	Service pimentospread.ServiceID
	Name    pimentospread.ServiceName
	Address netip.AddrPort
}

// DecodeRequest reads a request of a caller. GET is idempotent, POST is not,
// and DELETE withdraws the request that it names. The error is a Cause; when it
// is answerable, the result has the Origin to which the refusal goes. A
// request without Uri-Host is meant for the service of its address (RFC 7252, section 5.10.1).
func DecodeRequest(data []byte, caller netip.AddrPort, to Endpoint) (request.Request, error) {
	m, err := parse(data)
	if err == CauseHeader { //nolint:errorlint // causes are returned bare
		return request.Request{}, err
	}
	r := request.Request{Service: to.Service, Origin: request.Origin{
		Caller: caller, Service: to.Address, Token: bytes.Clone(m.Token),
		MessageID: uint16(m.MessageID), Confirmable: m.Type == message.Confirmable,
	}}
	if m.Type != message.Confirmable && m.Type != message.NonConfirmable {
		return request.Request{}, CauseType
	}
	if m.Code == codes.Empty {
		return request.Request{}, CauseEmpty
	}
	if isResponse(m.Code) {
		return request.Request{}, CauseCode
	}
	if err != nil {
		return r, err
	}
	if err := readRequest(&r, m, to.Name); err != nil {
		return request.Request{Origin: r.Origin, Service: to.Service}, err
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
	f, err := readOptions(m.Options)
	if err != nil {
		return err
	}
	if err := f.requireRequest(); err != nil {
		return err
	}
	if f.host != "" && f.host != string(name) {
		return CauseHost
	}
	r.ID, r.Class, r.Deadline, r.Path = f.request, f.class, f.deadline, f.path
	r.Payload = bytes.Clone(m.Payload)
	return nil
}

// EncodeRequest writes a request as a caller sends it. The Origin gives the
// token, the message id and whether the request is confirmable.
func (e *Encoder) EncodeRequest(r request.Request, name pimentospread.ServiceName) ([]byte, error) {
	options, err := requestOptions(fields{host: string(name), path: r.Path, request: r.ID, class: r.Class, deadline: r.Deadline})
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
