package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/steer"
)

// restarted returns the registration of the n-th later process of a target.
func restarted(r pimentospread.Registration, n int) pimentospread.Registration {
	r.Born += pimentospread.UnixMilli(n)
	return r
}

// Guards against resets of flows that opened at a target just after it had restarted under
// its name: they carry the token of its earlier process, which is no longer registered. A
// target that has stopped is still given up at the first retransmission.
func TestFlowsOfARestartedTarget(t *testing.T) {
	a, b := registration("i-1", localDomain), registration("i-2", localDomain)
	again, moved, draining, unborn := restarted(a, 1), restarted(a, 1), restarted(a, 1), a
	moved.Address = registration("i-9", localDomain).Address
	draining.Draining, unborn.Born = true, 0
	type lists [][]pimentospread.Registration
	tests := map[string]struct {
		// before and after are the targets listed before and after the request is sent.
		before, after lists
		cause         steer.Cause
	}{
		"the target restarted":                                {lists{{again, b}}, nil, steer.CauseDeparted},
		"the target restarts after the request was sent":      {nil, lists{{again, b}}, steer.CauseDeparted},
		"the target restarted twice":                          {lists{{again, b}, {restarted(a, 2), b}}, nil, steer.CauseDeparted},
		"its entry had expired before it registered again":    {lists{{b}, {again, b}}, nil, steer.CauseDeparted},
		"another writer removed the start time once":          {lists{{unborn, b}, {a, b}}, nil, steer.CauseRetransmission},
		"its entry has no start time":                         {lists{{unborn, b}}, nil, steer.CauseDeparted},
		"the later process drained and its entry was removed": {lists{{again, b}, {draining, b}}, lists{{b}}, steer.CauseDeparted},
		"the later process drains":                            {lists{{again, b}, {draining, b}}, nil, steer.CauseDeparted},
		"the earlier process was draining":                    {lists{{draining, b}, {restarted(a, 2), b}}, lists{{b}}, steer.CauseLostTarget},
		"the entry of the later process expired":              {lists{{again, b}}, lists{{b}}, steer.CauseLostTarget},
		"the target restarted and its entry expired":          {nil, lists{{again, b}, {b}}, steer.CauseLostTarget},
		"the target restarted at another address":             {lists{{moved, b}}, nil, steer.CauseLostTarget},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.configure(1, deskRoute())
			f.register(start, a, b)
			now := start
			for _, list := range tc.before {
				now = now.Add(time.Second)
				f.register(now, list...)
			}
			now = now.Add(time.Second)
			p := request(1, a.Token())
			f.steerer.Steer(now, p)
			for i, list := range tc.after {
				f.register(now.Add(time.Duration(i+1)*10*time.Millisecond), list...)
			}
			got := f.steerer.Steer(now.Add(retransmissionTimeout), p).Cause
			if diff := cmp.Diff(tc.cause, got); diff != "" {
				t.Errorf("cause of the retransmitted request (-want +got): %s", diff)
			}
		})
	}
}

// Guards against flows of an earlier process that are given up, although callers of the
// latest process get answers.
func TestAnswersOfTheLatestProcessCount(t *testing.T) {
	f := newFixture()
	f.configure(1, idempotentRoute())
	a, b := registration("i-1", localDomain), registration("i-2", localDomain)
	again := restarted(a, 1)
	f.register(start, a, b)
	f.register(start.Add(time.Second), again, b)
	sent := start.Add(2 * time.Second)
	for _, ms := range []int{0, 200, 600, 1400} {
		now := sent.Add(time.Duration(ms) * time.Millisecond)
		f.answer(now.Add(-20*time.Millisecond), uint16(2000+ms), b.Token(), 10*time.Millisecond)
		f.answer(now.Add(-20*time.Millisecond), uint16(4000+ms), again.Token(), 10*time.Millisecond)
		if got := f.steerer.Steer(now, request(1, a.Token())); got.Kind != steer.Forward {
			t.Errorf("request was reset after %d ms (%s)", ms, got.Cause)
		}
	}
}

// Guards against a target that gets no new flows after its restart, because flows of its
// earlier process lost packets while it was down.
func TestRestartedTargetIsNotSuspected(t *testing.T) {
	f := newFixture()
	f.configure(1, deskRoute())
	a := registration("i-1", localDomain)
	f.register(start, a, registration("i-2", localDomain))
	p := request(1, a.Token())
	f.steerer.Steer(start, p)
	f.register(start.Add(100*time.Millisecond), restarted(a, 1), registration("i-2", localDomain))
	f.steerer.Steer(start.Add(retransmissionTimeout), p)
	if changes := f.steerer.SuspicionChanges(); len(changes) != 0 {
		t.Errorf("the restarted target is suspected: %+v", changes)
	}
}

// Guards against resets of flows whose target is registered, for any sequence of restarts,
// drains and lapses, and against flows of a stopped target that are not given up.
func TestFlowsOfTargetsThatRestartAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.configure(1, deskRoute())
		b := registration("i-2", localDomain)
		now, born := start, 0
		var listed, last *pimentospread.Registration
		tokens := map[pimentospread.Token]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			switch kind := rapid.SampledFrom([]string{"restart", "drain", "remove"}).Draw(t, "kind"); {
			case kind == "restart" || listed == nil:
				born++
				r := restarted(registration("i-1", localDomain), born)
				listed, last = &r, &r
				tokens[r.Token()] = true
			case kind == "drain":
				r := *listed
				r.Draining = true
				listed, last = &r, &r
			default:
				listed = nil
			}
			present := []pimentospread.Registration{b}
			if listed != nil {
				present = append(present, *listed)
			}
			f.register(now, present...)
		}
		port := uint16(1)
		for token := range tokens {
			port++
			f.steerer.Steer(now, request(port, token))
			got := f.steerer.Steer(now.Add(retransmissionTimeout), request(port, token))
			want := steer.Forward
			if listed == nil && !last.Draining {
				want = steer.Reset
			}
			if got.Kind != want {
				t.Errorf("retransmission: got %s (%s), want %s; the target is listed %t, draining %t", got.Kind, got.Cause, want, listed != nil, last.Draining)
			}
		}
	})
}
