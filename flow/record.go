package flow

import (
	"encoding/binary"
	"math/bits"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
)

// Minutes is the age of a record.
type Minutes uint8

// HostTag is a short hash of a host's identifier; zero means none.
type HostTag uint8

// Record says which target holds a flow that the table may not give to it.
type Record struct {
	Flow    pimentospread.FlowID
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	// Age is the time since the flow was last known to be in use.
	Age Minutes
	// Primary is the holder that the writer ranked first. Two hosts that disagree
	// on the live hosts settle a conflict by it.
	Primary HostTag
}

// minRecord is the least number of bytes that a record takes.
const minRecord = 10

// layout says which fields the records of a list have.
type layout byte

const (
	hasAge layout = 1 << iota
	hasPrimary
	allFields = hasAge | hasPrimary
)

func (r Records) layout() layout {
	var l layout
	for _, x := range r {
		if x.Age != 0 {
			l |= hasAge
		}
		if x.Primary != 0 {
			l |= hasPrimary
		}
	}
	return l
}

// Records are encoded as one binary string, because field names would take
// more of the control budget than the content. A first byte says which of Age
// and Primary are there. A record takes 10 bytes while the service and the
// target are below 128, and one more for each of the two.
type Records []Record

// IDs are encoded as one binary string of 8 bytes each.
type IDs []pimentospread.FlowID

// EncodeMsgpack writes the compact form.
func (r Records) EncodeMsgpack(e *msgpack.Encoder) error {
	l := r.layout()
	b := append(make([]byte, 0, 1+(minRecord+2)*len(r)), byte(l))
	for _, x := range r {
		b = binary.BigEndian.AppendUint64(b, uint64(x.Flow))
		b = binary.AppendUvarint(b, uint64(x.Service))
		b = binary.AppendUvarint(b, uint64(x.Target))
		if l&hasAge != 0 {
			b = append(b, byte(x.Age))
		}
		if l&hasPrimary != 0 {
			b = append(b, byte(x.Primary))
		}
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack reads the compact form.
func (r *Records) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b) == 0 || layout(b[0]) > allFields || len(b) == 1 && b[0] != 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("record list of %d bytes has no known layout", len(b)), "decode", "")
	}
	l := layout(b[0])
	b = b[1:]
	list := make(Records, 0, len(b)/minRecord)
	for len(b) > 0 {
		x, rest, ok := l.decode(b)
		if !ok {
			return pimentospread.At(pimentospread.ErrInvalid.New("record of %d bytes is cut off or out of range", len(b)), "decode", "")
		}
		list, b = append(list, x), rest
	}
	*r = list
	return nil
}

func (l layout) decode(b []byte) (Record, []byte, bool) {
	if len(b) < 8 {
		return Record{}, nil, false
	}
	x := Record{Flow: pimentospread.FlowID(binary.BigEndian.Uint64(b))}
	b = b[8:]
	service, n := binary.Uvarint(b)
	if n <= 0 || service > uint64(pimentospread.MaxServiceID) {
		return Record{}, nil, false
	}
	b = b[n:]
	target, n := binary.Uvarint(b)
	if n <= 0 || target > 1<<32-1 || len(b) < n+bits.OnesCount8(uint8(l)) {
		return Record{}, nil, false
	}
	x.Service, x.Target = pimentospread.ServiceID(service), pimentospread.TargetID(target)
	b = b[n:]
	if l&hasAge != 0 {
		x.Age, b = Minutes(b[0]), b[1:]
	}
	if l&hasPrimary != 0 {
		x.Primary, b = HostTag(b[0]), b[1:]
	}
	return x, b, true
}

// EncodeMsgpack writes the compact form.
func (f IDs) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, 8*len(f))
	for _, id := range f {
		b = binary.BigEndian.AppendUint64(b, uint64(id))
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack reads the compact form.
func (f *IDs) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b)%8 != 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("flow list of %d bytes is not a multiple of 8", len(b)), "decode", "")
	}
	list := make(IDs, 0, len(b)/8)
	for ; len(b) > 0; b = b[8:] {
		list = append(list, pimentospread.FlowID(binary.BigEndian.Uint64(b)))
	}
	*f = list
	return nil
}
