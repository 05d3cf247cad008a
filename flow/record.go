package flow

import (
	"encoding/binary"
	"math/bits"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
)

// Minutes is the age of a record in minutes.
type Minutes uint8

// HostTag is an 8-bit hash of a HostID. Zero means no host.
type HostTag uint8

// Record assigns a flow to a target. Hosts store it for a flow whose target may
// differ from the one that the lookup table of its pool selects.
type Record struct {
	Flow    pimentospread.FlowID
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	// Age is the time since the flow was last known to be active.
	Age Minutes
	// Primary is the holder that the writer of the record ranked first. Hosts
	// that see different sets of live hosts use it to resolve conflicts.
	Primary HostTag
}

// minRecordSize is the smallest encoded size of a record in bytes.
const minRecordSize = 10

// layout is the set of optional fields that the encoded records of a list have.
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

// Records is a list of records. It is encoded as one binary string, because field
// names would take more of the budget for control traffic than the content. The
// first byte is a bit set that indicates which of Age and Primary the records have. A
// record takes 10 bytes if the ServiceID and the TargetID are below 128, and one
// more byte for each of the two optional fields.
type Records []Record

// IDs is a list of flow IDs. It is encoded as one binary string with 8
// bytes for each ID.
type IDs []pimentospread.FlowID

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r Records) EncodeMsgpack(e *msgpack.Encoder) error {
	l := r.layout()
	b := append(make([]byte, 0, 1+(minRecordSize+2)*len(r)), byte(l))
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

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Records) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b) == 0 || layout(b[0]) > allFields || len(b) == 1 && b[0] != 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("record list of %d bytes does not start with a valid layout byte", len(b)), "decode", "")
	}
	l := layout(b[0])
	b = b[1:]
	list := make(Records, 0, len(b)/minRecordSize)
	for len(b) > 0 {
		x, rest, ok := l.decode(b)
		if !ok {
			return pimentospread.At(pimentospread.ErrInvalid.New("record list is truncated or has a field out of range with %d bytes left", len(b)), "decode", "")
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

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f IDs) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, 8*len(f))
	for _, id := range f {
		b = binary.BigEndian.AppendUint64(b, uint64(id))
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *IDs) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b)%8 != 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("flow list has %d bytes, which is not a multiple of 8", len(b)), "decode", "")
	}
	list := make(IDs, 0, len(b)/8)
	for ; len(b) > 0; b = b[8:] {
		list = append(list, pimentospread.FlowID(binary.BigEndian.Uint64(b)))
	}
	*f = list
	return nil
}
