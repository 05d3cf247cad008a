package target_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/packet"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/request"
	"pimentospread/service"
	"pimentospread/standin/target"
)

var (
	epoch   = time.UnixMilli(1_000_000)
	host    = netip.MustParseAddrPort("127.0.0.1:2001")
	caller  = netip.MustParseAddrPort("198.18.0.1:10000")
	address = netip.MustParseAddrPort("192.0.2.10:443")
)

func newRequests() *target.Requests {
	return target.NewRequests(target.Options{Service: "auction-desk", Slots: 1, ServiceTime: time.Second, AnswerSize: 2 * coap.MaxPartSize})
}

func attempt(id pimentospread.AttemptID) request.Attempt {
	return request.Attempt{
		ID: id, Request: pimentospread.RequestID{Caller: 1, Sequence: uint64(id)}, Service: "auction-desk",
		Address: host, Class: "bid", Deadline: epoch.Add(10 * time.Second),
	}
}

// Guards against a target that runs attempts which it must refuse, or that runs a
// duplicate datagram twice.
func TestAttemptsAreRunOrRefused(t *testing.T) {
	tests := map[string]struct {
		change func(*request.Attempt)
		want   target.AttemptOutcome
	}{
		"free slot":     {func(*request.Attempt) {}, target.Started},
		"other service": {func(a *request.Attempt) { a.Service = "cert-office" }, target.Refused},
		"expired":       {func(a *request.Attempt) { a.Deadline = epoch }, target.Refused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequests()
			a := attempt(1)
			tt.change(&a)
			answer, got := r.Receive(epoch, a, target.Switches{})
			if got != tt.want || (got == target.Refused) != (answer.Answer.Kind == request.Shed) {
				t.Errorf("got %d with %+v, want %d", got, answer, tt.want)
			}
			if _, again := r.Receive(epoch, a, target.Switches{}); again != target.Ignored {
				t.Errorf("duplicate datagram: got %d, want it ignored", again)
			}
			if _, full := r.Receive(epoch, attempt(2), target.Switches{}); got == target.Started && full != target.Refused {
				t.Errorf("no free slot: got %d, want the attempt refused", full)
			}
		})
	}
}

// Guards against an answer without a last part, and against a cancelled request
// that keeps its slot.
func TestRequestsEndByAnswerOrCancel(t *testing.T) {
	r := newRequests()
	r.Receive(epoch, attempt(1), target.Switches{})
	if early := r.Finish(epoch, nil); len(early) != 0 {
		t.Errorf("before the end of the request: got %d answers, want none", len(early))
	}
	var more []bool
	for _, a := range r.Finish(epoch.Add(time.Second), nil) {
		more = append(more, a.Answer.Part.More)
	}
	if diff := cmp.Diff([]bool{true, false}, more); diff != "" {
		t.Error(diff)
	}
	r.Receive(epoch, attempt(2), target.Switches{})
	if other := r.Cancel(host, 9, nil); len(other) != 0 || r.Running() != 1 {
		t.Errorf("cancel of another attempt: got %v, want no effect", other)
	}
	if confirmed := r.Cancel(host, coap.MessageID(2), nil); len(confirmed) != 1 || r.Running() != 0 {
		t.Errorf("cancel: got %v with %d running, want a confirmation and none running", confirmed, r.Running())
	}
}

// Guards against a target that drops packets of unknown flows where a kernel sends
// a reset, which would hide flows that were sent to the wrong target.
func TestUnknownFlowsAreReset(t *testing.T) {
	f := target.NewFlows(1, time.Second)
	data := packet.Datagram{From: caller, To: address, Flags: packet.Flags{ACK: true}, Sequence: 5, Acknowledgement: 9}
	reset := packet.Segment{From: address, To: caller, Sequence: 9, Flags: packet.Flags{RST: true}}
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if diff := cmp.Diff([]packet.Segment{reset}, f.Receive(epoch, data, nil), compare); diff != "" {
		t.Error(diff)
	}
	syn := packet.Datagram{From: caller, To: address, Flags: packet.Flags{SYN: true}, Sequence: 4}
	if got := f.Receive(epoch, syn, nil); len(got) != 1 || !got[0].Flags.SYN || got[0].Acknowledgement != 5 {
		t.Errorf("SYN: got %+v, want one SYN-ACK with acknowledgement 5", got)
	}
	f.Silence()
	if got := f.Receive(epoch, data, nil); len(got) != 0 {
		t.Errorf("silent flow: got %+v, want no answer", got)
	}
}

// Guards against a target that takes the assignment of a target with the same
// address in another pool.
func TestAssignmentComesFromTheRelease(t *testing.T) {
	flow := netip.MustParseAddrPort("127.0.0.1:3000")
	published := release.Release{PublishedAt: epoch, Set: release.Set{
		Services: []service.Service{{ID: 3, Name: "auction-desk", Pool: "desk"}},
		TargetPools: []pool.Pool{
			{Name: "other", Targets: []pool.Target{{ID: 7, FlowAddress: flow}}},
			{Name: "desk", Targets: []pool.Target{{ID: 8, FlowAddress: flow, State: pool.Draining}}},
		},
	}}
	got, ok := target.FindAssignment(published, "auction-desk", flow)
	want := target.Assignment{Service: 3, Target: 8, DrainedAt: epoch}
	if diff := cmp.Diff(want, got); !ok || diff != "" {
		t.Error(diff)
	}
	if _, ok := target.FindAssignment(published, "cert-office", flow); ok {
		t.Error("got an assignment for a service that does not exist")
	}
}
