package request_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/request"
)

// Guards against fields that the encoding loses, and against messages that pass
// unchecked because the kind has no constructor.
func TestMessagesSurviveEncoding(t *testing.T) {
	id := pimentospread.RequestID{Caller: 1 << 60, Sequence: 9}
	caller := netip.MustParseAddrPort("10.1.0.1:40000")
	messages := []pimentospread.Message{
		&request.Claim{Request: id, Round: 2, Rosters: []pimentospread.ObjectVersion{5, 4}, Deadline: time.UnixMilli(1_800_000_000_123)},
		&request.ClaimReply{Request: id, Round: 2, Verdict: request.HeldByOther, Holder: request.Owner{Host: "neg-1", Incarnation: 77}},
		&request.ClaimRelease{Request: id, Round: 2},
		&request.Inquiry{Request: id, Origin: request.Origin{Caller: caller, Service: caller, Token: []byte{1}, MessageID: 3, Confirmable: true}},
		&request.InquiryReply{Request: id, Knowledge: request.Owned},
	}
	for _, m := range messages {
		data, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		got, known := request.NewMessage(m.MessageKind())
		if !known {
			t.Fatalf("no constructor for %s", m.MessageKind())
		}
		empty, _ := request.NewMessage(m.MessageKind())
		if err := msgpack.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		diff := cmp.Diff(m, got, cmpopts.EquateComparable(netip.AddrPort{}))
		if diff != "" {
			t.Errorf("%s (-want +got):\n%s", m.MessageKind(), diff)
		}
		v, _ := got.(interface{ Validate() error })
		if err := v.Validate(); err != nil {
			t.Errorf("%s is refused: %v", m.MessageKind(), err)
		}
		e, _ := empty.(interface{ Validate() error })
		if err := e.Validate(); err == nil && m.MessageKind() != request.KindInquiryReply {
			t.Errorf("empty %s is accepted", m.MessageKind())
		}
	}
}
