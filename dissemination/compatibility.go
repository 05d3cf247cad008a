package dissemination

import (
	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
)

// Messages are encoded as arrays, and the codec rejects an array whose length is not the
// number of fields. Fields that were added after the first release are therefore left out
// while they are zero, may be missing, and are skipped if they are newer than this
// release. Hosts of releases before this one can read what has no added field.
const (
	firstPeerFields        = 3
	firstStateUpdateFields = 8
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
	n := firstStateUpdateFields
	if len(m.Elsewhere) > 0 {
		n++
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return err
	}
	err := e.EncodeMulti(m.Age, m.Path, m.Position, m.Updates, m.Grace, m.Routes, m.Peers, m.Leaves)
	if err != nil || n == firstStateUpdateFields {
		return err
	}
	return e.Encode(m.Elsewhere)
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
	if err := d.Decode(&m.Elsewhere); err != nil {
		return err
	}
	return skip(d, n-firstStateUpdateFields-1)
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
