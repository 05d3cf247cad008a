package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"pimentospread"
	"pimentospread/member"
)

var registry = Registry{member.KindHeartbeat: func() pimentospread.Message { return &member.Heartbeat{} }}

func heartbeat() *member.Heartbeat {
	return &member.Heartbeat{
		Sequence: 9, Held: 3, Prepared: 2, Active: 1, Digest: 1 << 60, RosterVersion: 4, Ready: true,
		Down: []pimentospread.TargetID{5}, ListVersion: 6,
		Acknowledged: []member.Acknowledgement{{Reporter: "h01", Version: 7}},
	}
}

func encoded(t testing.TB, m pimentospread.Message) []byte {
	t.Helper()
	frame, err := Encode("h00", 1, m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// TestDecode guards against a heartbeat that encoding and decoding changes, and
// against malformed input that is accepted.
func TestDecode(t *testing.T) {
	valid := encoded(t, heartbeat())
	unordered := heartbeat()
	unordered.Active = 8
	long := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	noSender, err := Encode("", 1, heartbeat())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		frame []byte
		cause Cause
	}{
		"valid":        {valid, ""},
		"empty":        {make([]byte, 4), CauseLength},
		"too long":     {long, CauseLength},
		"not msgpack":  {[]byte{0, 0, 0, 1, 0xc1}, CauseEnvelope},
		"no sender":    {noSender, CauseEnvelope},
		"unknown kind": {encoded(t, unregistered{}), CauseKind},
		"wrong body":   {encoded(t, wrongBody{}), CauseBody},
		"invalid":      {encoded(t, unordered), CauseInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, cause, err := readFrame(bytes.NewReader(test.frame), nil)
			var in pimentospread.Inbound
			if err == nil {
				in, cause, err = registry.Decode(data)
			}
			if cause != test.cause || (err != nil) != (test.cause != "") {
				t.Fatalf("cause %q, error %v, want cause %q", cause, err, test.cause)
			}
			if err != nil {
				return
			}
			want := pimentospread.Inbound{From: "h00", Incarnation: 1, Message: heartbeat()}
			if d := cmp.Diff(want, in, cmpopts.IgnoreUnexported(member.Heartbeat{}, member.Acknowledgement{})); d != "" {
				t.Errorf("message (-want +got):\n%s", d)
			}
		})
	}
}

type unregistered struct{}

func (unregistered) MessageKind() pimentospread.MessageKind { return "Other" }

type wrongBody struct{ Sequence string }

func (wrongBody) MessageKind() pimentospread.MessageKind { return member.KindHeartbeat }

// FuzzFrame guards against input that crashes the process and against invalid
// messages that are accepted.
func FuzzFrame(f *testing.F) {
	valid := encoded(f, heartbeat())
	f.Add(valid)
	f.Add(append(append([]byte{}, valid...), valid...))
	f.Add(valid[:len(valid)-1])
	f.Add(encoded(f, wrongBody{"x"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 6, 0x94, 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		for {
			data, cause, err := readFrame(r, nil)
			if err != nil {
				if cause == "" && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("unexpected error %v without a cause", err)
				}
				return
			}
			m, cause, err := registry.Decode(data)
			if (err != nil) != (cause != "") {
				t.Fatalf("got cause %q with error %v, want both or neither", cause, err)
			}
			if err != nil {
				return
			}
			if err := m.Message.(*member.Heartbeat).Validate(); err != nil {
				t.Fatalf("accepted an invalid heartbeat: %v", err)
			}
		}
	})
}
