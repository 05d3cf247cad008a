package coap

import (
	"encoding/binary"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"pimentospread"
)

// maxOptions is the largest number of options in a message. The go-coap library
// returns an error if a message has more options than the slice has capacity for.
const maxOptions = 32

// headerLength is the length of the fixed header in bytes (RFC 7252, section 3).
const headerLength = 4

// parse decodes a message. If the header is valid but the options are not, it
// returns the header with the error, so that an error response can be sent.
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

func isResponseCode(code codes.Code) bool { return code>>5 >= 2 && code>>5 <= 5 }

// Encoder encodes messages. It reuses its buffer and assigns the message ids that
// are not given by the message, so it is not safe for concurrent use. A result is
// valid until the next call.
type Encoder struct {
	buffer []byte
	lastID uint16
}

// NewEncoder returns an encoder whose first message id is the one after lastID.
func NewEncoder(lastID uint16) *Encoder { return &Encoder{lastID: lastID} }

func (e *Encoder) nextMessageID() uint16 {
	e.lastID++
	return e.lastID
}

func (e *Encoder) write(m message.Message) ([]byte, error) {
	if len(m.Token) > message.MaxTokenSize {
		return nil, encodeError("token has %d bytes, maximum is %d", len(m.Token), message.MaxTokenSize)
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, wrapEncodeError(err)
	}
	if len(e.buffer) < size {
		e.buffer = make([]byte, size)
	}
	n, err := coder.DefaultCoder.Encode(m, e.buffer)
	if err != nil {
		return nil, wrapEncodeError(err)
	}
	return e.buffer[:n], nil
}

func wrapEncodeError(err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot encode the CoAP message"), "encode", "")
}

func encodeAttemptToken(id pimentospread.AttemptID) message.Token {
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}

func decodeAttemptToken(token message.Token) (pimentospread.AttemptID, error) {
	if len(token) != 8 {
		return 0, CauseToken
	}
	return pimentospread.AttemptID(binary.BigEndian.Uint64(token)), nil
}

// MessageID returns the message id of an attempt, the low 16 bits of its AttemptID.
// The id is derived because the CoAP reset that cancels the attempt has a message id
// but no token. Two attempts can have the same message id.
func MessageID(id pimentospread.AttemptID) uint16 { return uint16(id) }
