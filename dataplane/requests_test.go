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

var startTime = time.Unix(1_800_000_000, 0)

// dispatcherFixture is a dispatcher among three hosts whose peers have sent their rosters.
type dispatcherFixture struct {
	*dataplane.RequestDispatcher
	dataplane.RequestActions
	placement *slotPlacement
}

var selfClaimant = request.Claimant{Host: "a", Incarnation: 2}

func newDispatcherFixture() *dispatcherFixture {
	random := rand.New(rand.NewPCG(1, 2))
	d := &dispatcherFixture{placement: newSlotPlacement(2, 1, random)}
	d.RequestDispatcher = dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
		Self: selfClaimant.Host, Incarnation: selfClaimant.Incarnation, Admission: &fifoAdmission{limit: 1}, Placement: d.placement,
		Random: random, Started: startTime.Add(-time.Hour),
	})
	view := newTestView(2)
	view.Roster = member.Roster{Version: 1, Hosts: []member.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	view.PeerRosterVersions = request.AnnouncedVersions{"b": 1, "c": 1}
	d.Configure(startTime, view, &d.RequestActions)
	d.receiveFrom("b", &request.RostersReply{})
	d.receiveFrom("c", &request.RostersReply{})
	return d
}

func (d *dispatcherFixture) receiveFrom(peer pimentospread.HostID, m pimentospread.Message) {
	d.HandlePeerMessage(startTime, pimentospread.Inbound{From: peer, Incarnation: 1, Message: m}, &d.RequestActions)
}

// arriveAndGrant delivers a non-idempotent request, and grants its claim to the holder.
func (d *dispatcherFixture) arriveAndGrant(sequence uint64, holder request.Claimant) {
	q := newRequest(1, sequence, startTime.Add(4*time.Second), false)
	d.HandleRequest(startTime, q, &d.RequestActions)
	for _, peer := range []pimentospread.HostID{"b", "c"} {
		d.receiveFrom(peer, &request.ClaimReply{Request: q.ID, Round: 1, Holder: holder})
	}
}

func (d *dispatcherFixture) answerAttempt(at time.Duration, attempt int, kind request.AnswerKind, part request.Part) {
	a := d.Attempts[attempt]
	d.HandleAnswer(startTime.Add(at), request.Answer{Attempt: a.ID, From: a.Address, Kind: kind, Part: part}, &d.RequestActions)
}

// TestRequestScenarios guards against runs and outcomes that the rules for the
// ownership of requests do not allow.
func TestRequestScenarios(t *testing.T) {
	cases := map[string]struct {
		run      func(d *dispatcherFixture)
		attempts int
		want     []request.Outcome
	}{
		"grant to an earlier incarnation does not count": {func(d *dispatcherFixture) { d.arriveAndGrant(1, request.Claimant{Host: "a", Incarnation: 1}) }, 0, nil},
		"owner repeats its answer to an inquiry of another host": {func(d *dispatcherFixture) {
			d.arriveAndGrant(1, selfClaimant)
			d.answerAttempt(0, 0, request.Done, request.Part{})
			d.receiveFrom("b", &request.Inquiry{Request: d.Attempts[0].Request, Origin: request.Origin{Token: []byte("second")}})
		}, 1, []request.Outcome{request.Answered, request.Answered}},
		"shed request without retry budget stays not run when repeated": {func(d *dispatcherFixture) {
			d.placement.retryBudget = 0
			d.arriveAndGrant(1, selfClaimant)
			d.answerAttempt(0, 0, request.Shed, request.Part{})
			d.arriveAndGrant(1, selfClaimant)
		}, 1, []request.Outcome{request.NotRun, request.NotRun}},
		"shed request is retried at another target": {func(d *dispatcherFixture) {
			d.arriveAndGrant(1, selfClaimant)
			d.answerAttempt(0, 0, request.Shed, request.Part{})
			d.answerAttempt(0, 1, request.Failed, request.Part{})
		}, 2, []request.Outcome{request.TargetFailed}},
		"answer after the deadline is dropped": {func(d *dispatcherFixture) {
			d.arriveAndGrant(1, selfClaimant)
			d.Tick(startTime.Add(4*time.Second), &d.RequestActions)
			d.answerAttempt(4*time.Second, 0, request.Done, request.Part{})
		}, 1, []request.Outcome{request.Unknown}},
		"deadline beyond the maximum lifetime is malformed": {func(d *dispatcherFixture) {
			d.HandleRequest(startTime, newRequest(1, 1, startTime.Add(time.Hour), false), &d.RequestActions)
		}, 0, []request.Outcome{request.Malformed}},
		"outcome of a request that arrives after its deadline is unknown": {func(d *dispatcherFixture) {
			d.HandleRequest(startTime, newRequest(1, 1, startTime, false), &d.RequestActions)
		}, 0, []request.Outcome{request.Unknown}},
		"cancelled request is not sent from the queue": {func(d *dispatcherFixture) {
			for sequence := range uint64(3) {
				d.arriveAndGrant(sequence, selfClaimant)
			}
			q := newRequest(1, 2, startTime.Add(4*time.Second), false)
			q.Cancelled = true
			d.HandleRequest(startTime, q, &d.RequestActions)
			d.answerAttempt(0, 0, request.Done, request.Part{})
		}, 2, []request.Outcome{request.Answered}},
		"expired request is not sent from the queue": {func(d *dispatcherFixture) {
			for sequence := range uint64(3) {
				d.arriveAndGrant(sequence, selfClaimant)
			}
			d.answerAttempt(4*time.Second, 0, request.Done, request.Part{})
		}, 2, []request.Outcome{request.Answered, request.NotRun}},
		"closing host refuses queued requests and reports running ones as unknown": {func(d *dispatcherFixture) {
			for sequence := range uint64(4) {
				d.arriveAndGrant(sequence, selfClaimant)
			}
			d.Close(startTime, &d.RequestActions)
		}, 2, []request.Outcome{request.NotRun, request.Unknown, request.Unknown, request.NotRun}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDispatcherFixture()
			c.run(d)
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

// TestIdempotentRetryKeepsRunsApart guards against a truncated answer, and against
// parts of two runs under one tag, when a target does not finish its answer and the
// request is retried.
func TestIdempotentRetryKeepsRunsApart(t *testing.T) {
	d := newDispatcherFixture()
	d.HandleRequest(startTime, newRequest(1, 1, startTime.Add(4*time.Second), true), &d.RequestActions)
	part := func(n uint32, more bool) request.Part {
		return request.Part{Number: n, More: more, Tag: []byte("same"), Payload: []byte{byte(n)}}
	}
	d.answerAttempt(0, 0, request.Done, part(0, true))
	d.Tick(startTime.Add(3*time.Second), &d.RequestActions)
	d.Replies = nil
	d.answerAttempt(3*time.Second, 0, request.Done, part(1, false))
	for _, p := range []request.Part{part(1, false), part(1, false), part(0, true)} {
		d.answerAttempt(3*time.Second, 1, request.Done, p)
	}
	var numbers []uint32
	for _, reply := range d.Replies {
		if diff := cmp.Diff(d.Replies[0].Part.Tag, reply.Part.Tag); diff != "" {
			t.Errorf("tags of parts of one run differ (-first +this):\n%s", diff)
		}
		numbers = append(numbers, reply.Part.Number)
	}
	if diff := cmp.Diff([]uint32{1, 0}, numbers); diff != "" {
		t.Errorf("parts sent to the caller (-want +got):\n%s", diff)
	}
	if d.Attempts[0].Target == d.Attempts[1].Target || !d.Idle() {
		t.Errorf("retry went to target %d, want the other target and all slots free", d.Attempts[1].Target)
	}
}

// TestRejectedRequestsDoNotCountAgainstTarget guards against callers whose invalid
// requests lower the limit of a healthy target.
func TestRejectedRequestsDoNotCountAgainstTarget(t *testing.T) {
	tests := map[request.AnswerKind]pimentospread.Result{
		request.Failed:   pimentospread.ResultFailed,
		request.Rejected: pimentospread.ResultDone,
	}
	for kind, want := range tests {
		d := newDispatcherFixture()
		d.arriveAndGrant(1, selfClaimant)
		d.answerAttempt(0, 0, kind, request.Part{})
		if diff := cmp.Diff([]pimentospread.Result{want}, d.placement.results); diff != "" {
			t.Errorf("result of answer kind %d (-want +got):\n%s", kind, diff)
		}
	}
}
