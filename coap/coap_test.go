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

// Guards against a request or an attempt that loses a field on its way, such
// as the deadline or whether it may be repeated.
func TestRequestsAndAttemptsSurviveEncoding(t *testing.T) {
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
		clear(wire) // a decoded value owns its memory
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
		back, err := coap.DecodeAttempt(wire, caller)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(attempt, back, compare); diff != "" {
			t.Fatal(diff)
		}
		if wire, err = e.EncodeCancel(request.Cancel{Attempt: attempt.ID}); err != nil {
			t.Fatal(err)
		}
		if id, err := coap.DecodeCancel(wire); err != nil || id != coap.MessageID(attempt.ID) {
			t.Fatalf("cancel: got %d, %v", id, err)
		}
	})
}

// Guards against answers whose parts are mixed up or whose meaning changes
// between target, host and caller.
func TestAnswersAndRepliesSurviveEncoding(t *testing.T) {
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
		back, err := coap.DecodeReply(wire)
		if err != nil {
			t.Fatal(err)
		}
		if wire, err = e.EncodeAcknowledgement(request.Origin{MessageID: reply.Origin.MessageID, Confirmable: true}); err != nil {
			t.Fatal(err)
		}
		if id, err := coap.DecodeAcknowledgement(wire); err != nil || id != reply.Origin.MessageID {
			t.Fatalf("acknowledgement: got %d, %v", id, err)
		}
		carried := reply.Origin.Confirmable && part.Number == 0
		if carried && back.Origin.MessageID != reply.Origin.MessageID {
			t.Fatalf("acknowledgement has message id %d, want %d", back.Origin.MessageID, reply.Origin.MessageID)
		}
		back.Origin.MessageID, back.Origin.Confirmable = reply.Origin.MessageID, reply.Origin.Confirmable
		if diff := cmp.Diff(reply, back, compare); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a caller that takes an outcome for "not run" when it is open.
func TestOutcomesKeepTheirMeaning(t *testing.T) {
	e := coap.NewEncoder(0)
	for _, want := range []request.Outcome{request.TargetFailed, request.NotRun, request.Unknown, request.Malformed} {
		wire, err := e.EncodeReply(request.Reply{Outcome: want, Reason: "because"})
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeReply(wire)
		if err != nil || got.Outcome != want {
			t.Errorf("outcome %d: got %d, %v", want, got.Outcome, err)
		}
	}
	for _, want := range []request.AnswerKind{request.Shed, request.Failed, request.Rejected} {
		wire, err := e.EncodeAnswer(request.Answer{Kind: want})
		if err != nil {
			t.Fatal(err)
		}
		got, err := coap.DecodeAnswer(wire, caller)
		if err != nil || got.Kind != want {
			t.Errorf("answer kind %d: got %d, %v", want, got.Kind, err)
		}
	}
	other := encode(t, message.Message{Type: message.NonConfirmable, Code: codes.ServiceUnavailable, Payload: []byte("busy")})
	if got, err := coap.DecodeReply(other); err != nil || got.Outcome != request.Unknown {
		t.Errorf("5.03 without \"not run\": got %d, %v", got.Outcome, err)
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

// Guards against malformed requests that reach a decision, and against a
// refusal that does not go back to the sender.
func TestDecodeRequestNamesTheCause(t *testing.T) {
	tests := map[string]struct {
		change func(m *message.Message)
		want   coap.Cause
	}{
		"reset":                   {func(m *message.Message) { m.Type = message.Reset }, coap.CauseType},
		"ping":                    {func(m *message.Message) { m.Code = codes.Empty }, coap.CauseEmpty},
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
				t.Errorf("answerable is %t, origin is %+v", tt.want.Answerable(), r.Origin)
			}
		})
	}
	truncated := append(encode(t, message.Message{Type: message.Confirmable, Code: codes.GET, MessageID: 5}), 0xef)
	if r, err := coap.DecodeRequest(truncated, caller, auction); err != coap.CauseOption || r.Origin.MessageID != 5 { //nolint:errorlint // causes are returned bare
		t.Errorf("truncated option: got %v with origin %+v", err, r.Origin)
	}
}

func seed(f *testing.F) {
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

// Guards against a panic on any input of a caller, and against a request that
// cannot be sent on to a target.
func FuzzDecodeRequest(f *testing.F) {
	seed(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := coap.DecodeRequest(data, caller, auction)
		if err != nil {
			return
		}
		if _, err := coap.NewEncoder(0).EncodeRequest(r, auction.Name); err != nil {
			t.Errorf("request does not encode again: %v", err)
		}
	})
}

// Guards against a panic on any input of a target, and against an answer that
// cannot be passed on to a caller.
func FuzzDecodeAnswer(f *testing.F) {
	seed(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := coap.DecodeAnswer(data, caller)
		if err != nil {
			return
		}
		if _, err := coap.NewEncoder(0).EncodeReply(request.Reply{Part: a.Part}); err != nil {
			t.Errorf("part does not encode again: %v", err)
		}
	})
}

// Guards against a panic of the decoders of targets and callers.
func FuzzDecodeAttemptAndReply(f *testing.F) {
	seed(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, err := coap.DecodeAttempt(data, caller); err == nil {
			if _, err := coap.NewEncoder(0).EncodeAttempt(a); err != nil {
				t.Errorf("attempt does not encode again: %v", err)
			}
		}
		_, _ = coap.DecodeReply(data)
		_, _ = coap.DecodeCancel(data)
		_, _ = coap.DecodeAcknowledgement(data)
	})
}
