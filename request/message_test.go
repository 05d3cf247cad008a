package request_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/request"
)

// TestMessagesSurviveEncoding guards against fields that the encoding drops, and
// against messages that are not validated because NewMessage lacks their kind.
func TestMessagesSurviveEncoding(t *testing.T) {
	id := pimentospread.RequestID{Caller: 1 << 60, Sequence: 9}
	caller := netip.MustParseAddrPort("10.1.0.1:40000")
	messages := []pimentospread.Message{
		&request.Claim{Request: id, Round: 2, Rosters: []pimentospread.ObjectVersion{5, 4}, Deadline: time.UnixMilli(1_800_000_000_123)},
		&request.ClaimReply{Request: id, Round: 2, Verdict: request.HeldByOther, Holder: request.Claimant{Host: "neg-1", Incarnation: 77}},
		&request.ClaimRelease{Request: id, Round: 2},
		&request.Inquiry{Request: id, Origin: request.Origin{Caller: caller, Service: caller, Token: []byte{1}, MessageID: 3, Confirmable: true}},
		&request.InquiryReply{Request: id, Knowledge: request.Owned},
		&request.RostersQuery{},
		&request.RostersReply{Older: []member.Roster{{Version: 4, Hosts: []member.Host{{ID: "neg-1", PeerAddress: caller, DataAddress: caller, AdminAddress: caller}}}}},
	}
	for _, m := range messages {
		data, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		got, known := request.NewMessage(m.MessageKind())
		if !known {
			t.Fatalf("NewMessage does not support kind %s", m.MessageKind())
		}
		if err := msgpack.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		diff := cmp.Diff(m, got, cmpopts.EquateComparable(netip.AddrPort{}))
		if diff != "" {
			t.Errorf("%s (-want +got):\n%s", m.MessageKind(), diff)
		}
		v, _ := got.(interface{ Validate() error })
		if err := v.Validate(); err != nil {
			t.Errorf("%s is invalid: %v", m.MessageKind(), err)
		}
	}
}

// TestIncompleteMessagesAreRefused guards against messages with missing or unknown
// values being used in a decision.
func TestIncompleteMessagesAreRefused(t *testing.T) {
	deadline := time.UnixMilli(1_800_000_000_000)
	messages := map[string]interface{ Validate() error }{
		"claim without round":            &request.Claim{Rosters: []pimentospread.ObjectVersion{1}, Deadline: deadline},
		"claim without roster":           &request.Claim{Round: 1, Deadline: deadline},
		"claim with ascending rosters":   &request.Claim{Round: 1, Rosters: []pimentospread.ObjectVersion{1, 2}, Deadline: deadline},
		"grant without holder":           &request.ClaimReply{Round: 1},
		"unknown verdict":                &request.ClaimReply{Round: 1, Verdict: 9},
		"release without round":          &request.ClaimRelease{},
		"inquiry without origin":         &request.Inquiry{},
		"unknown ownership status":       &request.InquiryReply{Knowledge: 9},
		"older roster without a version": &request.RostersReply{Older: make([]member.Roster, 1)},
	}
	for name, m := range messages {
		if m.Validate() == nil {
			t.Errorf("%s is valid, want an error", name)
		}
	}
}
