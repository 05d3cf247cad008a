package controlplane

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/release"
)

// maxReleaseSize is the platform's size limit for a value.
const maxReleaseSize = 1 << 20

// PackedRelease is a release together with the encoding in which hosts exchange it.
type PackedRelease struct {
	Release *release.Release
	// Packed is the compressed JSON. Compression removes the repeated field names that make up
	// most of a release, because the control traffic of a host is bounded.
	Packed []byte
	// Digest is a hash of the compacted JSON.
	Digest uint64
}

// DecodeFunc decodes the JSON of a release.
type DecodeFunc func(data []byte) (*release.Release, error)

// Pack decodes and compresses the JSON of a release that was read from the platform.
func Pack(data []byte, decode DecodeFunc) (*PackedRelease, error) {
	const step = "pack release"
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release is not JSON"), step, "")
	}
	r, err := decode(compact.Bytes())
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "compressor cannot be created"), step, "")
	}
	if _, err := w.Write(compact.Bytes()); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be compressed"), step, "")
	}
	if err := w.Close(); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be compressed"), step, "")
	}
	return &PackedRelease{Release: r, Packed: packed.Bytes(), Digest: xxhash.Sum64(compact.Bytes())}, nil
}

// Unpack decompresses and decodes a release that a peer has sent.
func Unpack(packed []byte, decode DecodeFunc) (*PackedRelease, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	decoded, err := decode(data)
	if err != nil {
		return nil, err
	}
	return &PackedRelease{Release: decoded, Packed: packed, Digest: xxhash.Sum64(data)}, nil
}

// decompress returns the JSON of a packed release.
func decompress(packed []byte) ([]byte, error) {
	const step = "unpack release"
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }()
	data, err := io.ReadAll(io.LimitReader(r, maxReleaseSize+1))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release cannot be decompressed"), step, "")
	}
	if len(data) > maxReleaseSize {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("decompressed release is longer than %d bytes", maxReleaseSize), step, "")
	}
	return data, nil
}

// generation returns the generation of the release, or zero when c is nil.
func (c *PackedRelease) generation() pimentospread.Generation {
	if c == nil {
		return 0
	}
	return c.Release.Generation
}

// digest returns the digest of the release, or zero when c is nil.
func (c *PackedRelease) digest() uint64 {
	if c == nil {
		return 0
	}
	return c.Digest
}

// supersedes reports whether c is newer than other. The platform assigns a
// generation to one publisher only. If two releases have the same generation
// nevertheless, the higher digest wins, so that all hosts converge on one release.
func (c *PackedRelease) supersedes(other *PackedRelease) bool {
	if c.generation() != other.generation() {
		return c.generation() > other.generation()
	}
	return c.digest() > other.digest()
}
