package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"pimentospread"
)

// gzipMagic is the signature at the start of a gzip file (RFC 1952).
var gzipMagic = []byte{0x1f, 0x8b}

// Read returns the events of a trace, which may be compressed with gzip. An
// incomplete last event is ignored.
func Read(in io.Reader) ([]Event, error) {
	buffered := bufio.NewReader(in)
	var plain io.Reader = buffered
	if magic, err := buffered.Peek(len(gzipMagic)); err == nil && slices.Equal(magic, gzipMagic) {
		decompressed, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, newReadError(err)
		}
		plain = decompressed
	}
	var events []Event
	decoder := json.NewDecoder(plain)
	for {
		var e Event
		err := decoder.Decode(&e)
		// A host that was killed may leave an incomplete last line.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, newReadError(err)
		}
		events = append(events, e)
	}
}

// Merge returns the events of several hosts in the order of their times. Events
// of the same worker keep their order.
func Merge(hosts ...[]Event) []Event {
	merged := slices.Concat(hosts...)
	slices.SortStableFunc(merged, func(a, b Event) int { return a.At.Compare(b.At) })
	return merged
}

func newReadError(err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "trace cannot be read"), "read trace", "")
}
