package dissemination

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"pimentospread"
)

// Messages are encoded as arrays, and the codec rejects an array whose length is not the
// number of fields. Fields that were added after the first release are therefore left out
// while they are zero, may be missing, and are skipped if they are newer than this
// release. Hosts of releases before this one can read what has no added field.
const (
	firstPeerFields        = 3
	firstStateUpdateFields = 8
	firstSubscribeFields   = 7
)

// EncodeMsgpack encodes the host.
func (peer Peer) EncodeMsgpack(e *msgpack.Encoder) error {
	n := firstPeerFields
	if peer.LinkSpeed > 0 {
		n++
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return err
	}
	if err := e.EncodeMulti(peer.Host, peer.FailureDomain, peer.Address); err != nil || n == firstPeerFields {
		return err
	}
	return e.EncodeUint(uint64(peer.LinkSpeed))
}

// DecodeMsgpack decodes the host.
func (peer *Peer) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := decodeLength(d, firstPeerFields, "host")
	if err != nil {
		return err
	}
	if err := d.DecodeMulti(&peer.Host, &peer.FailureDomain, &peer.Address); err != nil || n == firstPeerFields {
		return err
	}
	if err := d.Decode(&peer.LinkSpeed); err != nil {
		return err
	}
	return skip(d, n-firstPeerFields-1)
}

// EncodeMsgpack encodes the message.
func (m *StateUpdate) EncodeMsgpack(e *msgpack.Encoder) error {
	m, eras := m.withoutEras()
	more := m.additions()
	added := []any{m.Elsewhere, eras, more}
	switch {
	case more != nil:
	case eras != nil:
		added = added[:2]
	case len(m.Elsewhere) > 0:
		added = added[:1]
	default:
		added = nil
	}
	if err := e.EncodeArrayLen(firstStateUpdateFields + len(added)); err != nil {
		return err
	}
	if err := e.EncodeMulti(m.Age, m.Path, m.Position, m.Updates, m.Grace, m.Routes, m.Peers, m.Leaves); err != nil {
		return err
	}
	return e.EncodeMulti(added...)
}

// DecodeMsgpack decodes the message.
func (m *StateUpdate) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := decodeLength(d, firstStateUpdateFields, "state update")
	if err != nil {
		return err
	}
	err = d.DecodeMulti(&m.Age, &m.Path, &m.Position, &m.Updates, &m.Grace, &m.Routes, &m.Peers, &m.Leaves)
	if err != nil || n == firstStateUpdateFields {
		return err
	}
	if err := d.Decode(&m.Elsewhere); err != nil || n == firstStateUpdateFields+1 {
		return err
	}
	var eras []pimentospread.Era
	if err := d.Decode(&eras); err != nil {
		return err
	}
	if err := addEras(m.versions(), eras); err != nil || n == firstStateUpdateFields+2 {
		return err
	}
	var more additions
	if err := d.Decode(&more); err != nil {
		return err
	}
	m.add(more)
	return skip(d, n-firstStateUpdateFields-3)
}

// subscribeFields is a subscription as hosts of earlier releases read it: as an array of
// exactly these fields, or as a map that may have more.
type subscribeFields Subscribe

// EncodeMsgpack encodes the message. With eras or evacuations it is a map, because hosts of earlier
// releases reject an array with a further field.
func (m *Subscribe) EncodeMsgpack(e *msgpack.Encoder) error {
	m, eras := m.withoutEras()
	if eras == nil && m.EvacuationsDigest == 0 {
		return e.Encode((*subscribeFields)(m))
	}
	if err := e.EncodeMapLen(firstSubscribeFields + 2); err != nil {
		return err
	}
	return e.EncodeMulti("Address", m.Address, "Position", m.Position, "TargetsDigest", m.TargetsDigest, "PeersDigest", m.PeersDigest,
		"Age", m.Age, "Once", m.Once, "Leaves", m.Leaves, "Eras", eras, "EvacuationsDigest", m.EvacuationsDigest)
}

// DecodeMsgpack decodes the message.
func (m *Subscribe) DecodeMsgpack(d *msgpack.Decoder) error {
	var fields struct {
		subscribeFields
		Eras              []pimentospread.Era  `msgpack:"Eras"`
		EvacuationsDigest pimentospread.Digest `msgpack:"EvacuationsDigest"`
	}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) {
		err = d.Decode(&fields)
	} else {
		err = d.Decode(&fields.subscribeFields)
	}
	if err != nil {
		return err
	}
	*m = Subscribe(fields.subscribeFields)
	m.EvacuationsDigest = fields.EvacuationsDigest
	return addEras(m.versions(), fields.Eras)
}

// decodeLength decodes the number of fields and checks that those of the first release are
// present.
func decodeLength(d *msgpack.Decoder, minimum int, what string) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n < minimum {
		return 0, pimentospread.At(pimentospread.ErrInvalid.New("%s has %d fields, want at least %d", what, n, minimum), "decode", "")
	}
	return n, nil
}

// skip skips fields of later releases.
func skip(d *msgpack.Decoder, n int) error {
	for range n {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
