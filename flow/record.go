package flow

import (
	"encoding/binary"

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
const minRecord = 12

// Records are encoded as one binary string, because field names would take
// more of the control budget than the content. A record takes 12 bytes while
// the service and the target are below 128.
type Records []Record

// IDs are encoded as one binary string of 8 bytes each.
type IDs []pimentospread.FlowID

// EncodeMsgpack writes the compact form.
func (r Records) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, (minRecord+2)*len(r))
	for _, x := range r {
		b = binary.BigEndian.AppendUint64(b, uint64(x.Flow))
		b = binary.AppendUvarint(b, uint64(x.Service))
		b = binary.AppendUvarint(b, uint64(x.Target))
		b = append(b, byte(x.Age), byte(x.Primary))
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack reads the compact form.
func (r *Records) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	list := make(Records, 0, len(b)/minRecord)
	for len(b) > 0 {
		x, rest, ok := decodeRecord(b)
		if !ok {
			return pimentospread.At(pimentospread.ErrInvalid.New("record of %d bytes is cut off or out of range", len(b)), "decode", "")
		}
		list, b = append(list, x), rest
	}
	*r = list
	return nil
}

func decodeRecord(b []byte) (Record, []byte, bool) {
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
	if n <= 0 || target > 1<<32-1 || len(b) < n+2 {
		return Record{}, nil, false
	}
	x.Service, x.Target = pimentospread.ServiceID(service), pimentospread.TargetID(target)
	x.Age, x.Primary = Minutes(b[n]), HostTag(b[n+1])
	return x, b[n+2:], true
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
