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

// Options of this system, from the range for experiments (RFC 7252, section 12.2).
// Their numbers are odd, which makes them critical: a server that does not support
// them rejects the request.
const (
	optionRequestID message.OptionID = 65001
	optionClass     message.OptionID = 65005
	optionDeadline  message.OptionID = 65009
)

const (
	maxClassLength = 64
	// maxDeadline is the latest deadline in milliseconds since the Unix epoch. It is
	// far beyond any real date and prevents overflows in calculations with times.
	maxDeadline = 1 << 48
	// blockSizeExponent is the SZX value for blocks of 1024 bytes, the largest in RFC 7959.
	blockSizeExponent = 6
	// MaxPartSize is the largest payload of one part of an answer in bytes.
	MaxPartSize = 1 << (blockSizeExponent + 4)
	// maxPartNumber is the largest number that fits in the 20 bits of a block option.
	maxPartNumber = 1<<20 - 1
)

// optionValues has the values of the options of a request or an answer.
type optionValues struct {
	host     string
	path     string
	request  pimentospread.RequestID
	class    pimentospread.Class
	deadline time.Time
	part     request.Part
	present  map[message.OptionID]bool
}

// readOptions decodes the options of a message. It returns an error for an unknown
// critical option.
func readOptions(options message.Options) (optionValues, error) {
	v := optionValues{present: make(map[message.OptionID]bool, len(options))}
	for _, o := range options {
		if v.present[o.ID] && o.ID != message.URIPath && o.ID%2 == 1 {
			return optionValues{}, CauseOptionRepeated
		}
		v.present[o.ID] = true
		if err := v.read(o); err != nil {
			return optionValues{}, err
		}
	}
	return v, nil
}

func (v *optionValues) read(o message.Option) error {
	switch o.ID {
	case message.URIHost:
		if len(o.Value) == 0 || len(o.Value) > 255 {
			return CauseHost
		}
		v.host = string(o.Value)
	case message.URIPath:
		if len(o.Value) > 255 || bytes.IndexByte(o.Value, '/') >= 0 {
			return CausePath
		}
		v.path += "/" + string(o.Value)
	case message.QBlock2:
		return v.readBlock(o.Value)
	case message.ETag:
		v.part.Tag = bytes.Clone(o.Value)
	case optionRequestID:
		if len(o.Value) != 16 {
			return CauseRequestID
		}
		v.request.Caller = pimentospread.CallerID(binary.BigEndian.Uint64(o.Value))
		v.request.Sequence = binary.BigEndian.Uint64(o.Value[8:])
	case optionClass:
		if len(o.Value) == 0 || len(o.Value) > maxClassLength {
			return CauseClass
		}
		v.class = pimentospread.Class(o.Value)
	case optionDeadline:
		milliseconds, ok := readUint(o.Value)
		if !ok || milliseconds == 0 || milliseconds > maxDeadline {
			return CauseDeadline
		}
		v.deadline = time.UnixMilli(int64(milliseconds))
	default:
		if o.ID%2 == 1 {
			return CauseCritical
		}
	}
	return nil
}

func (v *optionValues) readBlock(value []byte) error {
	block, ok := readUint(value)
	if !ok || len(value) > 3 || block&7 == 7 {
		return CauseOption
	}
	v.part.Number, v.part.More = uint32(block>>4), block&8 != 0
	return nil
}

// requireRequestOptions returns an error if an option that every request must have is missing.
func (v *optionValues) requireRequestOptions() error {
	switch {
	case !v.present[optionRequestID]:
		return CauseRequestID
	case !v.present[optionClass]:
		return CauseClass
	case !v.present[optionDeadline]:
		return CauseDeadline
	default:
		return nil
	}
}

// readUint decodes the uint format of RFC 7252, section 3.2.
func readUint(value []byte) (uint64, bool) {
	if len(value) > 8 {
		return 0, false
	}
	var n uint64
	for _, b := range value {
		n = n<<8 | uint64(b)
	}
	return n, true
}

func appendUint(value uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], value)
	return bytes.TrimLeft(b[:], "\x00")
}

// requestOptions encodes the options of a request in the order of their numbers.
func requestOptions(v optionValues) (message.Options, error) {
	if v.host == "" || len(v.host) > 255 {
		return nil, encodeError("service name %q is empty or too long for a Uri-Host option", v.host)
	}
	if v.class == "" || len(v.class) > maxClassLength {
		return nil, encodeError("class %q is empty or longer than %d bytes", v.class, maxClassLength)
	}
	milliseconds := v.deadline.UnixMilli()
	if milliseconds <= 0 || milliseconds > maxDeadline {
		return nil, encodeError("deadline %s is out of range", v.deadline)
	}
	options := message.Options{{ID: message.URIHost, Value: []byte(v.host)}}
	if v.path != "" {
		for _, s := range strings.Split(strings.TrimPrefix(v.path, "/"), "/") {
			if len(s) > 255 {
				return nil, encodeError("path segment has %d bytes, maximum is 255", len(s))
			}
			options = append(options, message.Option{ID: message.URIPath, Value: []byte(s)})
		}
	}
	id := binary.BigEndian.AppendUint64(nil, uint64(v.request.Caller))
	id = binary.BigEndian.AppendUint64(id, v.request.Sequence)
	return append(options,
		message.Option{ID: optionRequestID, Value: id},
		message.Option{ID: optionClass, Value: []byte(v.class)},
		message.Option{ID: optionDeadline, Value: appendUint(uint64(milliseconds))},
	), nil
}

// partOptions encodes the options of a part in the order of their numbers. An
// answer that consists of one part has no block option.
func partOptions(p request.Part) (message.Options, error) {
	if len(p.Tag) > 8 || p.Number > maxPartNumber {
		return nil, encodeError("part number %d or tag of %d bytes is too large", p.Number, len(p.Tag))
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

func encodeError(format string, args ...any) error {
	return pimentospread.At(pimentospread.ErrInvalid.New(format, args...), "encode", "")
}
