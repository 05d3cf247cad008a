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

// gzipMagic starts every gzip file (RFC 1952).
var gzipMagic = []byte{0x1f, 0x8b}

// Read returns the events of a trace, which may be compressed with gzip.
func Read(in io.Reader) ([]Event, error) {
	buffered := bufio.NewReader(in)
	var plain io.Reader = buffered
	if magic, err := buffered.Peek(len(gzipMagic)); err == nil && slices.Equal(magic, gzipMagic) {
		unpacked, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, unreadable(err)
		}
		plain = unpacked
	}
	var events []Event
	d := json.NewDecoder(plain)
	for {
		var e Event
		err := d.Decode(&e)
		// The last line of a host that was killed may be cut.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, unreadable(err)
		}
		events = append(events, e)
	}
}

// Merge returns the events of several hosts in the order of their times.
// Events of one decider keep their order.
func Merge(hosts ...[]Event) []Event {
	all := slices.Concat(hosts...)
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	return all
}

func unreadable(err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "trace cannot be read"), "read trace", "")
}
