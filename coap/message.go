package coap

import (
	"encoding/binary"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"pimentospread"
)

// maxOptions bounds the options of one message. The library refuses more than the slice can hold.
const maxOptions = 32

// headerLength is the length of the fixed header (RFC 7252, section 3).
const headerLength = 4

// parse reads a message. When only the options are at fault, the header is
// returned with the error, so that the sender can be told.
func parse(data []byte) (message.Message, error) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	_, err := coder.DefaultCoder.Decode(data, &m)
	switch {
	case err == nil:
		return m, nil
	case errors.Is(err, coder.ErrMessageTruncated), errors.Is(err, coder.ErrMessageInvalidVersion), errors.Is(err, message.ErrInvalidTokenLen):
		return message.Message{}, CauseHeader
	default:
		token := data[headerLength : headerLength+int(data[0]&0xf)]
		m.Token, m.Options, m.Payload = token, nil, nil
		return m, CauseOption
	}
}

func isResponse(code codes.Code) bool { return code>>5 >= 2 && code>>5 <= 5 }

// Encoder encodes messages. It reuses its buffer and numbers the messages that
// are no answers to a message id, so one duty owns it. A result is valid until the next call.
type Encoder struct {
	buffer []byte
	next   uint16
}

// NewEncoder returns an encoder that starts at the given message id.
func NewEncoder(first uint16) *Encoder { return &Encoder{next: first} }

func (e *Encoder) messageID() uint16 {
	e.next++
	return e.next
}

func (e *Encoder) write(m message.Message) ([]byte, error) {
	if len(m.Token) > message.MaxTokenSize {
		return nil, failed("token has %d bytes, more than %d", len(m.Token), message.MaxTokenSize)
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, wrapped(err)
	}
	if len(e.buffer) < size {
		e.buffer = make([]byte, size)
	}
	n, err := coder.DefaultCoder.Encode(m, e.buffer)
	if err != nil {
		return nil, wrapped(err)
	}
	return e.buffer[:n], nil
}

func wrapped(err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "CoAP message was not written"), "encode", "")
}

func attemptToken(id pimentospread.AttemptID) message.Token {
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}

func attemptOf(token message.Token) (pimentospread.AttemptID, error) {
	if len(token) != 8 {
		return 0, CauseToken
	}
	return pimentospread.AttemptID(binary.BigEndian.Uint64(token)), nil
}

// MessageID returns the message id of an attempt. A CoAP reset names the
// message id and has no token, so the id follows from the AttemptID.
func MessageID(id pimentospread.AttemptID) uint16 { return uint16(id) }
