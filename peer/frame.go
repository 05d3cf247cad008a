package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
)

// MaxFrame is the maximum size of a frame without its length prefix, in bytes:
// a release of 1 MiB and 64 KiB for its envelope.
const MaxFrame = 1<<20 + 64<<10

const lengthBytes = 4

// Cause is the reason why a received frame was rejected.
type Cause string

// Causes of rejected frames.
const (
	// CauseLength is a length prefix of zero or above MaxFrame.
	CauseLength Cause = "length"
	// CauseEnvelope is an envelope that cannot be decoded or has no sender.
	CauseEnvelope Cause = "envelope"
	// CauseKind is a message kind that is not registered.
	CauseKind Cause = "kind"
	// CauseBody is a message body that cannot be decoded.
	CauseBody Cause = "body"
	// CauseInvalid is a message that fails its own validation.
	CauseInvalid Cause = "invalid"
	// CauseSender is a sender that differs from the host in the certificate of the connection.
	CauseSender Cause = "sender"
)

// Registry maps each message kind to the constructor of its messages.
type Registry map[pimentospread.MessageKind]func() pimentospread.Message

// envelope is the content of a frame.
type envelope struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding, which omits field names
	From        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Kind        pimentospread.MessageKind
	Body        msgpack.RawMessage
}

// validator is implemented by messages that are validated after decoding.
type validator interface{ Validate() error }

// Encode returns the frame of a message, including the length prefix.
func Encode(from pimentospread.HostID, incarnation pimentospread.Incarnation, m pimentospread.Message) ([]byte, error) {
	body, err := marshal(m)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "message %s cannot be encoded", m.MessageKind()), "encode", "")
	}
	data, err := msgpack.Marshal(&envelope{From: from, Incarnation: incarnation, Kind: m.MessageKind(), Body: body})
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "envelope cannot be encoded"), "encode", "")
	}
	if len(data) > MaxFrame {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("message %s has %d bytes, the limit is %d", m.MessageKind(), len(data), MaxFrame), "encode", "")
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return append(frame, data...), nil
}

// marshal encodes structs as arrays. With field names, most bytes of a claim
// would be names, and the control traffic of a host is limited.
func marshal(m pimentospread.Message) ([]byte, error) {
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// readFrame returns the content of the next frame, in buffer if it is large
// enough. An error without a cause is an error of the connection.
func readFrame(r io.Reader, buffer []byte) ([]byte, Cause, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, "", err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n == 0 || n > MaxFrame {
		return nil, CauseLength, pimentospread.At(pimentospread.ErrInvalid.New("frame has %d bytes, must have between 1 and %d", n, MaxFrame), "read", "")
	}
	if cap(buffer) < n {
		buffer = make([]byte, n)
	}
	buffer = buffer[:n]
	if _, err := io.ReadFull(r, buffer); err != nil {
		return nil, "", err
	}
	return buffer, "", nil
}

// Decode decodes and validates the content of a frame.
func (r Registry) Decode(data []byte) (pimentospread.Inbound, Cause, error) {
	var e envelope
	if err := unmarshal(data, &e); err != nil {
		return pimentospread.Inbound{}, CauseEnvelope, err
	}
	if e.From == "" || e.Incarnation == 0 {
		return pimentospread.Inbound{}, CauseEnvelope, pimentospread.At(pimentospread.ErrInvalid.New("envelope has no sender"), "decode", "")
	}
	construct, ok := r[e.Kind]
	if !ok {
		return pimentospread.Inbound{}, CauseKind, pimentospread.At(pimentospread.ErrInvalid.New("message kind %q is not registered", e.Kind), "decode", string(e.From))
	}
	m := construct()
	if err := unmarshal(e.Body, m); err != nil {
		return pimentospread.Inbound{}, CauseBody, err
	}
	if v, ok := m.(validator); ok {
		if err := v.Validate(); err != nil {
			return pimentospread.Inbound{}, CauseInvalid, err
		}
	}
	return pimentospread.Inbound{From: e.From, Incarnation: e.Incarnation, Message: m}, "", nil
}

// unmarshal converts a panic of the codec into an error, so that malicious input
// on one connection cannot crash the process.
func unmarshal(data []byte, into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = pimentospread.At(pimentospread.ErrInvalid.New("msgpack codec panicked: %v", p), "decode", "")
		}
	}()
	if e := msgpack.Unmarshal(data, into); e != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(e, "not valid msgpack"), "decode", "")
	}
	return nil
}
