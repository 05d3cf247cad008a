package coap

import (
	"bytes"
	"encoding/binary"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"pimentospread"
	"pimentospread/request"
)

// Options of our own, from the range for experiments (RFC 7252, section 12.2).
// They are odd, so that a server that does not know them refuses the request.
const (
	optionRequestID message.OptionID = 65001
	optionClass     message.OptionID = 65005
	optionDeadline  message.OptionID = 65009
)

const (
	maxClassLength = 64
	// maxDeadline is far beyond any date and keeps the arithmetic on times from overflowing.
	maxDeadline = 1 << 48
	// blockSizeExponent names parts of 1024 bytes, the largest that RFC 7959 knows.
	blockSizeExponent = 6
	// MaxPartSize is the largest payload of one part of an answer.
	MaxPartSize = 1 << (blockSizeExponent + 4)
	// maxPartNumber is the largest number that fits the 20 bits of a block option.
	maxPartNumber = 1<<20 - 1
)

// fields are the options that requests and answers use.
type fields struct {
	host     string
	path     string
	request  pimentospread.RequestID
	class    pimentospread.Class
	deadline time.Time
	part     request.Part
	seen     map[message.OptionID]bool
}

// readOptions reads the options of a message and refuses critical ones that are not known.
func readOptions(options message.Options) (fields, error) {
	f := fields{seen: make(map[message.OptionID]bool, len(options))}
	for _, o := range options {
		if f.seen[o.ID] && o.ID != message.URIPath && o.ID%2 == 1 {
			return fields{}, CauseOptionRepeated
		}
		f.seen[o.ID] = true
		if err := f.read(o); err != nil {
			return fields{}, err
		}
	}
	return f, nil
}

func (f *fields) read(o message.Option) error {
	switch o.ID {
	case message.URIHost:
		if len(o.Value) == 0 || len(o.Value) > 255 {
			return CauseHost
		}
		f.host = string(o.Value)
	case message.URIPath:
		if len(o.Value) > 255 || bytes.IndexByte(o.Value, '/') >= 0 {
			return CausePath
		}
		f.path += "/" + string(o.Value)
	case message.QBlock2:
		return f.readBlock(o.Value)
	case message.ETag:
		f.part.Tag = bytes.Clone(o.Value)
	case optionRequestID:
		if len(o.Value) != 16 {
			return CauseRequestID
		}
		f.request.Caller = pimentospread.CallerID(binary.BigEndian.Uint64(o.Value))
		f.request.Sequence = binary.BigEndian.Uint64(o.Value[8:])
	case optionClass:
		if len(o.Value) == 0 || len(o.Value) > maxClassLength {
			return CauseClass
		}
		f.class = pimentospread.Class(o.Value)
	case optionDeadline:
		milliseconds, ok := readUint(o.Value)
		if !ok || milliseconds == 0 || milliseconds > maxDeadline {
			return CauseDeadline
		}
		f.deadline = time.UnixMilli(int64(milliseconds))
	default:
		if o.ID%2 == 1 {
			return CauseCritical
		}
	}
	return nil
}

func (f *fields) readBlock(value []byte) error {
	block, ok := readUint(value)
	if !ok || len(value) > 3 || block&7 == 7 {
		return CauseOption
	}
	f.part.Number, f.part.More = uint32(block>>4), block&8 != 0
	return nil
}

// requireRequest checks the options that every request carries.
func (f *fields) requireRequest() error {
	switch {
	case !f.seen[optionRequestID]:
		return CauseRequestID
	case !f.seen[optionClass]:
		return CauseClass
	case !f.seen[optionDeadline]:
		return CauseDeadline
	default:
		return nil
	}
}

// readUint reads the uint format of RFC 7252, section 3.2.
func readUint(value []byte) (uint64, bool) {
	if len(value) > 8 {
		return 0, false
	}
	var v uint64
	for _, b := range value {
		v = v<<8 | uint64(b)
	}
	return v, true
}

func appendUint(value uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], value)
	return bytes.TrimLeft(b[:], "\x00")
}

// requestOptions returns the options of a request in the order of their numbers.
func requestOptions(f fields) (message.Options, error) {
	if f.host == "" || len(f.host) > 255 {
		return nil, failed("service name %q is not a Uri-Host", f.host)
	}
	if f.class == "" || len(f.class) > maxClassLength {
		return nil, failed("class %q has no length between 1 and %d bytes", f.class, maxClassLength)
	}
	milliseconds := f.deadline.UnixMilli()
	if milliseconds <= 0 || milliseconds > maxDeadline {
		return nil, failed("deadline %s is out of range", f.deadline)
	}
	options := message.Options{{ID: message.URIHost, Value: []byte(f.host)}}
	if f.path != "" {
		for _, s := range strings.Split(strings.TrimPrefix(f.path, "/"), "/") {
			if len(s) > 255 {
				return nil, failed("path segment has %d bytes, more than 255", len(s))
			}
			options = append(options, message.Option{ID: message.URIPath, Value: []byte(s)})
		}
	}
	id := binary.BigEndian.AppendUint64(nil, uint64(f.request.Caller))
	id = binary.BigEndian.AppendUint64(id, f.request.Sequence)
	return append(options,
		message.Option{ID: optionRequestID, Value: id},
		message.Option{ID: optionClass, Value: []byte(f.class)},
		message.Option{ID: optionDeadline, Value: appendUint(uint64(milliseconds))},
	), nil
}

// partOptions returns the options of a part in the order of their numbers. An
// answer in one part needs no block option.
func partOptions(p request.Part) (message.Options, error) {
	if len(p.Tag) > 8 || p.Number > maxPartNumber {
		return nil, failed("part %d with a tag of %d bytes cannot be written", p.Number, len(p.Tag))
	}
	var options message.Options
	if len(p.Tag) > 0 {
		options = append(options, message.Option{ID: message.ETag, Value: p.Tag})
	}
	if p.Number == 0 && !p.More {
		return options, nil
	}
	block := uint64(p.Number)<<4 | blockSizeExponent
	if p.More {
		block |= 8
	}
	return append(options, message.Option{ID: message.QBlock2, Value: appendUint(block)}), nil
}

func failed(format string, args ...any) error {
	return pimentospread.At(pimentospread.ErrInvalid.New(format, args...), "encode", "")
}
