package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
)

// MaxFrame is the largest frame: a release of one megabyte with its envelope.
const MaxFrame = 1<<20 + 64<<10

const lengthBytes = 4

// Cause says why an incoming frame was refused.
type Cause string

// Causes of refused frames.
const (
	CauseLength   Cause = "length"
	CauseEnvelope Cause = "envelope"
	CauseKind     Cause = "kind"
	CauseBody     Cause = "body"
	CauseInvalid  Cause = "invalid"
	// CauseSender is a frame that names another host than the certificate of its connection.
	CauseSender Cause = "sender"
)

// Registry finds the constructor of a message by its kind.
type Registry map[pimentospread.MessageKind]func() pimentospread.Message

// envelope is what a frame contains.
type envelope struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding, which leaves out field names
	From        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Kind        pimentospread.MessageKind
	Body        msgpack.RawMessage
}

// validator is implemented by messages that check themselves after decoding.
type validator interface{ Validate() error }

// Encode returns the frame of a message.
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

// marshal encodes structs as arrays. Field names would be most of the bytes of
// a claim, and the control traffic of a host is bounded.
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

// readFrame returns the content of the next frame. An error without a cause
// comes from the connection.
func readFrame(r io.Reader, buffer []byte) ([]byte, Cause, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, "", err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n == 0 || n > MaxFrame {
		return nil, CauseLength, pimentospread.At(pimentospread.ErrInvalid.New("frame of %d bytes, the limit is %d", n, MaxFrame), "read", "")
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

// Decode reads the content of a frame.
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
		return pimentospread.Inbound{}, CauseKind, pimentospread.At(pimentospread.ErrInvalid.New("message kind %q is not known", e.Kind), "decode", string(e.From))
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

// unmarshal turns a panic of the codec on hostile input into an error, so that one
// connection cannot end the process.
func unmarshal(data []byte, into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = pimentospread.At(pimentospread.ErrInvalid.New("codec failed: %v", p), "decode", "")
		}
	}()
	if e := msgpack.Unmarshal(data, into); e != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(e, "not valid msgpack"), "decode", "")
	}
	return nil
}
