package coap_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/request"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

var (
	caller  = netip.MustParseAddrPort("198.51.100.7:4711")
	auction = coap.Endpoint{Service: 7, Name: "auction-desk", Address: netip.MustParseAddrPort("192.0.2.10:443")}
	compare = cmp.Options{
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		cmpopts.EquateEmpty(),
	}
)

func drawRequest(t *rapid.T) request.Request {
	method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
	return request.Request{
		ID: pimentospread.RequestID{
			Caller:   pimentospread.CallerID(rapid.Uint64().Draw(t, "caller")),
			Sequence: rapid.Uint64().Draw(t, "sequence"),
		},
		Origin: request.Origin{
			Caller: caller, Service: auction.Address,
			Token:       rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "token"),
			MessageID:   rapid.Uint16().Draw(t, "messageID"),
			Confirmable: rapid.Bool().Draw(t, "confirmable"),
		},
		Service:    auction.Service,
		Class:      pimentospread.Class(rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "class")),
		Deadline:   time.UnixMilli(rapid.Int64Range(1, 1<<48).Draw(t, "deadline")),
		Idempotent: method == "GET",
		Cancelled:  method == "DELETE",
		Path:       rapid.StringMatching(`(/[a-z0-9]{0,9}){0,5}`).Draw(t, "path"),
		Payload:    rapid.SliceOfN(rapid.Byte(), 0, 1200).Draw(t, "payload"),
	}
}

// TestRequestAndAttemptRoundTrip guards against an encoding that loses a field of a
// request or an attempt, such as the deadline or whether it is idempotent.
func TestRequestAndAttemptRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := coap.NewEncoder(0)
		want := drawRequest(t)
		wire, err := e.EncodeRequest(want, auction.Name)
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeRequest(wire, caller, auction)
		if err != nil {
			t.Fatal(err)
		}
		clear(wire) // a decoded value must not share memory with the input
		if diff := cmp.Diff(want, got, compare); diff != "" {
			t.Fatal(diff)
		}
		attempt := request.Attempt{
			ID: pimentospread.AttemptID(rapid.Uint64().Draw(t, "attempt")), Request: want.ID, Service: auction.Name, Address: caller,
			Class: want.Class, Deadline: want.Deadline, Idempotent: want.Idempotent, Path: want.Path, Payload: want.Payload,
		}
		if wire, err = e.EncodeAttempt(attempt); err != nil {
			t.Fatal(err)
		}
		gotAttempt, err := coap.DecodeAttempt(wire, caller)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(attempt, gotAttempt, compare); diff != "" {
			t.Fatal(diff)
		}
		if wire, err = e.EncodeCancel(request.Cancel{Attempt: attempt.ID}); err != nil {
			t.Fatal(err)
		}
		if id, err := coap.DecodeCancel(wire); err != nil || id != coap.MessageID(attempt.ID) {
			t.Fatalf("DecodeCancel: got message id %d and error %v, want the message id of the attempt", id, err)
		}
	})
}

// TestAnswerAndReplyRoundTrip guards against an encoding that loses a field of an
// answer or a reply, such as the part number.
func TestAnswerAndReplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := coap.NewEncoder(rapid.Uint16().Draw(t, "first"))
		part := request.Part{
			Number: rapid.Uint32Max(1<<20-1).Draw(t, "number"), More: rapid.Bool().Draw(t, "more"),
			Tag: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "tag"), Payload: rapid.SliceOfN(rapid.Byte(), 0, coap.MaxPartSize).Draw(t, "payload"),
		}
		want := request.Answer{Attempt: pimentospread.AttemptID(rapid.Uint64().Draw(t, "attempt")), From: caller, Part: part}
		wire, err := e.EncodeAnswer(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeAnswer(wire, caller)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, compare); diff != "" {
			t.Fatal(diff)
		}
		reply := request.Reply{Part: part, Origin: request.Origin{
			Token: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "token"), MessageID: rapid.Uint16().Draw(t, "messageID"), Confirmable: rapid.Bool().Draw(t, "confirmable"),
		}}
		if wire, err = e.EncodeReply(reply); err != nil {
			t.Fatal(err)
		}
		gotReply, err := coap.DecodeReply(wire)
		if err != nil {
			t.Fatal(err)
		}
		if wire, err = e.EncodeAcknowledgement(request.Origin{MessageID: reply.Origin.MessageID, Confirmable: true}); err != nil {
			t.Fatal(err)
		}
		if id, err := coap.DecodeAcknowledgement(wire); err != nil || id != reply.Origin.MessageID {
			t.Fatalf("DecodeAcknowledgement: got message id %d and error %v, want the message id of the request", id, err)
		}
		piggybacked := reply.Origin.Confirmable && part.Number == 0
		if piggybacked && gotReply.Origin.MessageID != reply.Origin.MessageID {
			t.Fatalf("piggybacked reply has message id %d, want %d", gotReply.Origin.MessageID, reply.Origin.MessageID)
		}
		gotReply.Origin.MessageID, gotReply.Origin.Confirmable = reply.Origin.MessageID, reply.Origin.Confirmable
		if diff := cmp.Diff(reply, gotReply, compare); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestOutcomeAndAnswerKindRoundTrip guards against a caller that receives NotRun for
// a request that may have run.
func TestOutcomeAndAnswerKindRoundTrip(t *testing.T) {
	e := coap.NewEncoder(0)
	for _, want := range []request.Outcome{request.TargetFailed, request.NotRun, request.Unknown, request.Malformed} {
		wire, err := e.EncodeReply(request.Reply{Outcome: want, Reason: "because"})
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeReply(wire)
		if err != nil || got.Outcome != want {
			t.Errorf("outcome %d: decoded outcome %d, error %v", want, got.Outcome, err)
		}
	}
	for _, want := range []request.AnswerKind{request.Shed, request.Failed, request.Rejected} {
		wire, err := e.EncodeAnswer(request.Answer{Kind: want})
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeAnswer(wire, caller)
		if err != nil || got.Kind != want {
			t.Errorf("answer kind %d: decoded kind %d, error %v", want, got.Kind, err)
		}
	}
	other := encode(t, message.Message{Type: message.NonConfirmable, Code: codes.ServiceUnavailable, Payload: []byte("busy")})
	if got, err := coap.DecodeReply(other); err != nil || got.Outcome != request.Unknown {
		t.Errorf("5.03 without \"not run\": got outcome %d and error %v, want Unknown", got.Outcome, err)
	}
}

func encode(t testing.TB, m message.Message) []byte {
	t.Helper()
	b := make([]byte, 2048)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		t.Fatal(err)
	}
	return b[:n]
}

func validRequest() message.Message {
	return message.Message{
		Type: message.Confirmable, Code: codes.POST, Token: []byte{1}, MessageID: 5,
		Options: message.Options{
			{ID: message.URIHost, Value: []byte("auction-desk")},
			{ID: 65001, Value: make([]byte, 16)},
			{ID: 65005, Value: []byte("bid")},
			{ID: 65009, Value: []byte{1, 0}},
		},
	}
}

// TestDecodeRequestReturnsCause guards against malformed requests that are accepted,
// and against an answerable error without the origin for the response.
func TestDecodeRequestReturnsCause(t *testing.T) {
	tests := map[string]struct {
		change func(m *message.Message)
		want   coap.Cause
	}{
		"reset":                   {func(m *message.Message) { m.Type = message.Reset }, coap.CauseType},
		"empty message":           {func(m *message.Message) { m.Code = codes.Empty }, coap.CauseEmpty},
		"response":                {func(m *message.Message) { m.Code = codes.Content }, coap.CauseCode},
		"PUT":                     {func(m *message.Message) { m.Code = codes.PUT }, coap.CauseMethod},
		"other service":           {func(m *message.Message) { m.Options[0].Value = []byte("cert-office") }, coap.CauseHost},
		"short request id":        {func(m *message.Message) { m.Options[1].Value = make([]byte, 15) }, coap.CauseRequestID},
		"no request id":           {func(m *message.Message) { m.Options = append(m.Options[:1], m.Options[2:]...) }, coap.CauseRequestID},
		"empty class":             {func(m *message.Message) { m.Options[2].Value = nil }, coap.CauseClass},
		"no deadline":             {func(m *message.Message) { m.Options = m.Options[:3] }, coap.CauseDeadline},
		"deadline of nine bytes":  {func(m *message.Message) { m.Options[3].Value = make([]byte, 9) }, coap.CauseDeadline},
		"repeated class":          {func(m *message.Message) { m.Options = m.Options.Add(m.Options[2]) }, coap.CauseOptionRepeated},
		"unknown critical option": {func(m *message.Message) { m.Options = m.Options.Add(message.Option{ID: 65003}) }, coap.CauseCritical},
		"slash in a path segment": {func(m *message.Message) {
			m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte("a/b")})
		}, coap.CausePath},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := validRequest()
			tt.change(&m)
			r, err := coap.DecodeRequest(encode(t, m), caller, auction)
			if diff := cmp.Diff(error(tt.want), err); diff != "" {
				t.Error(diff)
			}
			if tt.want.Answerable() != (r.Origin.MessageID == 5 && r.Origin.Caller == caller) {
				t.Errorf("Answerable is %t, but origin is %+v", tt.want.Answerable(), r.Origin)
			}
		})
	}
	truncated := append(encode(t, message.Message{Type: message.Confirmable, Code: codes.GET, MessageID: 5}), 0xef)
	if r, err := coap.DecodeRequest(truncated, caller, auction); err != coap.CauseOption || r.Origin.MessageID != 5 { //nolint:errorlint // a Cause is returned unwrapped
		t.Errorf("truncated option: got error %v with origin %+v, want CauseOption with message id 5", err, r.Origin)
	}
}

func addSeeds(f *testing.F) {
	f.Add([]byte{})
	f.Add(encode(f, validRequest()))
	e := coap.NewEncoder(0)
	answer, err := e.EncodeAnswer(request.Answer{Part: request.Part{Number: 3, More: true, Tag: []byte("run"), Payload: []byte("part")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte(nil), answer...))
	attempt, err := e.EncodeAttempt(request.Attempt{ID: 1, Service: "s", Class: "bid", Deadline: time.UnixMilli(1), Path: "/a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte(nil), attempt...))
	f.Add([]byte{0x70, 0, 1, 2})
}

// FuzzDecodeRequest guards against a panic on any input of a caller, and against a
// decoded request that cannot be encoded.
func FuzzDecodeRequest(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := coap.DecodeRequest(data, caller, auction)
		if err != nil {
			return
		}
		if _, err := coap.NewEncoder(0).EncodeRequest(r, auction.Name); err != nil {
			t.Errorf("cannot encode the decoded request: %v", err)
		}
	})
}

// FuzzDecodeAnswer guards against a panic on any input of a target, and against a
// decoded answer that cannot be encoded as a reply.
func FuzzDecodeAnswer(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := coap.DecodeAnswer(data, caller)
		if err != nil {
			return
		}
		if _, err := coap.NewEncoder(0).EncodeReply(request.Reply{Part: a.Part}); err != nil {
			t.Errorf("cannot encode the decoded part: %v", err)
		}
	})
}

// FuzzDecodeAttemptAndReply guards against a panic in the decoders that targets and
// callers use.
func FuzzDecodeAttemptAndReply(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, err := coap.DecodeAttempt(data, caller); err == nil {
			if _, err := coap.NewEncoder(0).EncodeAttempt(a); err != nil {
				t.Errorf("cannot encode the decoded attempt: %v", err)
			}
		}
		_, _ = coap.DecodeReply(data)
		_, _ = coap.DecodeCancel(data)
		_, _ = coap.DecodeAcknowledgement(data)
	})
}
