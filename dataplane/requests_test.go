package dataplane_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
	"pimentospread/request"
)

var start = time.Unix(1_800_000_000, 0)

// desk is a decider in a cell of three hosts whose peers have told their rosters.
type desk struct {
	*dataplane.RequestDispatcher
	dataplane.RequestActions
	slots *slots
}

var self = request.Owner{Host: "a", Incarnation: 2}

func newDesk() *desk {
	random := rand.New(rand.NewPCG(1, 2))
	d := &desk{slots: newSlots(2, 1, random)}
	d.RequestDispatcher = dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
		Self: self.Host, Incarnation: self.Incarnation, Admission: &queue{limit: 1}, Placement: d.slots,
		Random: random, Started: start.Add(-time.Hour),
	})
	view := deskView(2)
	view.Roster = member.Roster{Version: 1, Hosts: []member.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	view.PeerRosterVersions = request.AnnouncedVersions{"b": 1, "c": 1}
	d.Configure(start, view, &d.RequestActions)
	d.from("b", &request.RostersReply{})
	d.from("c", &request.RostersReply{})
	return d
}

func (d *desk) from(peer pimentospread.HostID, m pimentospread.Message) {
	d.HandlePeerMessage(start, pimentospread.Inbound{From: peer, Incarnation: 1, Message: m}, &d.RequestActions)
}

// transfer has a non-idempotent request arrive, and grants it to the holder.
func (d *desk) transfer(sequence uint64, holder request.Owner) {
	q := newRequest(1, sequence, start.Add(4*time.Second), false)
	d.HandleRequest(start, q, &d.RequestActions)
	for _, peer := range []pimentospread.HostID{"b", "c"} {
		d.from(peer, &request.ClaimReply{Request: q.ID, Round: 1, Holder: holder})
	}
}

func (d *desk) answer(at time.Duration, attempt int, kind request.AnswerKind, part request.Part) {
	a := d.Attempts[attempt]
	d.HandleAnswer(start.Add(at), request.Answer{Attempt: a.ID, From: a.Address, Kind: kind, Part: part}, &d.RequestActions)
}

// Guards against runs and outcomes that the rules of ownership do not allow.
func TestRequestScenarios(t *testing.T) {
	cases := map[string]struct {
		play     func(d *desk)
		attempts int
		want     []request.Outcome
	}{
		"a grant to an earlier run does not count": {func(d *desk) { d.transfer(1, request.Owner{Host: "a", Incarnation: 1}) }, 0, nil},
		"the owner repeats its answer for another host": {func(d *desk) {
			d.transfer(1, self)
			d.answer(0, 0, request.Done, request.Part{})
			d.from("b", &request.Inquiry{Request: d.Attempts[0].Request, Origin: request.Origin{Token: []byte("second")}})
		}, 1, []request.Outcome{request.Answered, request.Answered}},
		"shed without a budget is not run and stays so": {func(d *desk) {
			d.slots.budget = 0
			d.transfer(1, self)
			d.answer(0, 0, request.Shed, request.Part{})
			d.transfer(1, self)
		}, 1, []request.Outcome{request.NotRun, request.NotRun}},
		"a shed request runs elsewhere": {func(d *desk) {
			d.transfer(1, self)
			d.answer(0, 0, request.Shed, request.Part{})
			d.answer(0, 1, request.Failed, request.Part{})
		}, 2, []request.Outcome{request.TargetFailed}},
		"an answer after the deadline is dropped": {func(d *desk) {
			d.transfer(1, self)
			d.Tick(start.Add(4*time.Second), &d.RequestActions)
			d.answer(4*time.Second, 0, request.Done, request.Part{})
		}, 1, []request.Outcome{request.Unknown}},
		"a deadline too far ahead is malformed": {func(d *desk) {
			d.HandleRequest(start, newRequest(1, 1, start.Add(time.Hour), false), &d.RequestActions)
		}, 0, []request.Outcome{request.Malformed}},
		"an expired request may have run elsewhere": {func(d *desk) {
			d.HandleRequest(start, newRequest(1, 1, start, false), &d.RequestActions)
		}, 0, []request.Outcome{request.Unknown}},
		"a cancelled request is not sent from the queue": {func(d *desk) {
			for sequence := range uint64(3) {
				d.transfer(sequence, self)
			}
			q := newRequest(1, 2, start.Add(4*time.Second), false)
			q.Cancelled = true
			d.HandleRequest(start, q, &d.RequestActions)
			d.answer(0, 0, request.Done, request.Part{})
		}, 2, []request.Outcome{request.Answered}},
		"an expired request is not sent from the queue": {func(d *desk) {
			for sequence := range uint64(3) {
				d.transfer(sequence, self)
			}
			d.answer(4*time.Second, 0, request.Done, request.Part{})
		}, 2, []request.Outcome{request.Answered, request.NotRun}},
		"a leaving host refuses its queue and does not know what runs": {func(d *desk) {
			for sequence := range uint64(4) {
				d.transfer(sequence, self)
			}
			d.Close(start, &d.RequestActions)
		}, 2, []request.Outcome{request.NotRun, request.Unknown, request.Unknown, request.NotRun}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk()
			c.play(d)
			var got []request.Outcome
			for _, r := range d.Replies {
				got = append(got, r.Outcome)
			}
			if diff := cmp.Diff(c.want, got); diff != "" || len(d.Attempts) != c.attempts {
				t.Errorf("%d attempts, want %d; outcomes (-want +got):\n%s", len(d.Attempts), c.attempts, diff)
			}
		})
	}
}

// Guards against a truncated answer, and against parts of two runs under one
// tag when a target is silent and the request is retried.
func TestIdempotentRetryKeepsRunsApart(t *testing.T) {
	d := newDesk()
	d.HandleRequest(start, newRequest(1, 1, start.Add(4*time.Second), true), &d.RequestActions)
	part := func(n uint32, more bool) request.Part {
		return request.Part{Number: n, More: more, Tag: []byte("same"), Payload: []byte{byte(n)}}
	}
	d.answer(0, 0, request.Done, part(0, true))
	d.Tick(start.Add(3*time.Second), &d.RequestActions)
	d.Replies = nil
	d.answer(3*time.Second, 0, request.Done, part(1, false))
	for _, p := range []request.Part{part(1, false), part(1, false), part(0, true)} {
		d.answer(3*time.Second, 1, request.Done, p)
	}
	var numbers []uint32
	for _, reply := range d.Replies {
		if diff := cmp.Diff(d.Replies[0].Part.Tag, reply.Part.Tag); diff != "" {
			t.Errorf("parts of one run differ in their tag:\n%s", diff)
		}
		numbers = append(numbers, reply.Part.Number)
	}
	if diff := cmp.Diff([]uint32{1, 0}, numbers); diff != "" {
		t.Errorf("parts that the caller gets (-want +got):\n%s", diff)
	}
	if d.Attempts[0].Target == d.Attempts[1].Target || !d.Idle() {
		t.Errorf("retry went to target %d again, or a slot is still taken", d.Attempts[1].Target)
	}
}

// Guards against callers with wrong requests who lower the limit of a sound target.
func TestOnlyTheTargetsOwnErrorsCountAgainstIt(t *testing.T) {
	tests := map[request.AnswerKind]pimentospread.Result{
		request.Failed:   pimentospread.ResultFailed,
		request.Rejected: pimentospread.ResultDone,
	}
	for kind, want := range tests {
		d := newDesk()
		d.transfer(1, self)
		d.answer(0, 0, kind, request.Part{})
		if diff := cmp.Diff([]pimentospread.Result{want}, d.slots.results); diff != "" {
			t.Errorf("kind %d: %s", kind, diff)
		}
	}
}
