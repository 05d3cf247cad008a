package decide_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread/decide"
	"pimentospread/request"
)

var start = time.Unix(1_800_000_000, 0)

func newDecider(targets int) (*decide.Requests, *decide.RequestActions) {
	random := rand.New(rand.NewPCG(1, 2))
	r := decide.NewRequests(decide.RequestsDeps{
		Self: "a", Incarnation: 1, Admission: &queue{limit: 8}, Placement: newSlots(targets, 1, random),
		Random: random, Started: start.Add(-time.Hour),
	})
	actions := &decide.RequestActions{}
	r.Configure(start, deskView(targets), actions)
	return r, actions
}

// Guards against a truncated answer, and against parts of two runs under one
// tag when a target is silent and the request is retried.
func TestIdempotentRetryKeepsRunsApart(t *testing.T) {
	r, actions := newDecider(2)
	r.Arrive(start, newRequest(1, 1, start.Add(4*time.Second), true), actions)
	first := actions.Attempts[0]
	part := func(n uint32, more bool) request.Part {
		return request.Part{Number: n, More: more, Tag: []byte("same"), Payload: []byte{byte(n)}}
	}
	r.Answer(start, request.Answer{Attempt: first.ID, From: first.Address, Part: part(0, true)}, actions)
	r.Tick(start.Add(3*time.Second), actions)
	second := actions.Attempts[1]
	actions.Replies = nil
	now := start.Add(3 * time.Second)
	for _, a := range []request.Answer{
		{Attempt: first.ID, From: first.Address, Part: part(1, false)},
		{Attempt: second.ID, From: first.Address, Part: part(1, false)},
		{Attempt: second.ID, From: second.Address, Part: part(1, false)},
		{Attempt: second.ID, From: second.Address, Part: part(1, false)},
		{Attempt: second.ID, From: second.Address, Part: part(0, true)},
	} {
		r.Answer(now, a, actions)
	}
	var numbers []uint32
	for _, reply := range actions.Replies {
		if diff := cmp.Diff(actions.Replies[0].Part.Tag, reply.Part.Tag); diff != "" {
			t.Errorf("parts of one run differ in their tag:\n%s", diff)
		}
		numbers = append(numbers, reply.Part.Number)
	}
	if diff := cmp.Diff([]uint32{1, 0}, numbers); diff != "" {
		t.Errorf("parts that the caller gets (-want +got):\n%s", diff)
	}
	if first.Target == second.Target || !r.Idle() {
		t.Errorf("retry went to target %d after %d; idle: %t", second.Target, first.Target, r.Idle())
	}
}
