package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/policy"
)

// waitingRequests records the offered requests that have not left the queue.
type waitingRequests struct {
	t       *rapid.T
	waiting map[pimentospread.RequestID]pimentospread.Work
}

func (requests waitingRequests) leave(w pimentospread.Work, how string) {
	if _, ok := requests.waiting[w.Request]; !ok {
		requests.t.Fatalf("request %s left the queue twice or was never offered: %s", w.Request, how)
	}
	delete(requests.waiting, w.Request)
}

// TestQueueLosesNothingAndStaysBounded guards against work that is lost, returned
// twice or returned after its expiry, and against queues of callers, classes or
// services that exceed their bounds.
func TestQueueLosesNothingAndStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testService(2, 2)
		s.Classes = []policy.Class{rule(low, 1, 8), rule(urgent, 9, 4), rule("bid", 9, 5)}
		q := NewQueue(QueueDeps{})
		q.Configure(start, []Service{s}, hostIDs(2), "host-0")
		now, sequence := start, uint64(0)
		requests := waitingRequests{t, map[pimentospread.RequestID]pimentospread.Work{}}
		refused := func(all []pimentospread.Refusal) {
			for _, r := range all {
				requests.leave(r.Work, r.Reason)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				sequence++
				class := rapid.SampledFrom([]pimentospread.Class{low, low, urgent, "bid", "unknown"}).Draw(t, "class")
				w := work(rapid.Uint64Range(1, 5).Draw(t, "caller"), sequence, class, now)
				w.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 8000).Draw(t, "left")) * time.Millisecond)
				requests.waiting[w.Request] = w
				refused(q.Offer(now, w))
			},
			"next": func(t *rapid.T) {
				if w, ok := q.Next(now, 1); ok {
					if !now.Before(w.Deadline) || !now.Before(w.Arrived.Add(5*time.Second)) {
						t.Fatalf("request %s was returned after its expiry", w.Request)
					}
					requests.leave(w, "next")
					q.Ended(now, 1, time.Duration(rapid.IntRange(1, 500).Draw(t, "took"))*time.Millisecond)
				}
			},
			"remove": func(t *rapid.T) {
				id := pimentospread.RequestID{Caller: pimentospread.CallerID(rapid.Uint64Range(1, 5).Draw(t, "caller")), Sequence: rapid.Uint64Range(0, sequence).Draw(t, "sequence")}
				if w := requests.waiting[id]; q.Remove(id) {
					requests.leave(w, "remove")
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
				refused(q.Expire(now))
			},
			"configure": func(t *rapid.T) {
				changed := s
				changed.Classes = s.Classes[:rapid.IntRange(0, 3).Draw(t, "classes")]
				q.Configure(now, []Service{changed}, hostIDs(2), "host-0")
				q.Configure(now, []Service{s}, hostIDs(2), "host-0")
			},
			"": func(t *rapid.T) {
				if got := q.Waiting(1) + len(q.pendingRefusals); got != len(requests.waiting) {
					t.Fatalf("%d requests wait or have pending refusals, want %d", got, len(requests.waiting))
				}
				if q.Waiting(1) > 8 || len(q.expiry) != q.Waiting(1) {
					t.Fatalf("%d requests wait and %d are in the expiry heap, want equal numbers of at most 8", q.Waiting(1), len(q.expiry))
				}
				for _, c := range q.services[1].classes {
					for _, e := range c.callers {
						if e.length > c.callerLimit() || c.waiting > c.rule.QueueLength {
							t.Fatalf("class %s has %d requests and one caller has %d, above the bounds", c.rule.Name, c.waiting, e.length)
						}
					}
				}
			},
		})
	})
}

// TestQueueOrder guards against a queue that ignores urgency, floors or the turns of callers.
func TestQueueOrder(t *testing.T) {
	type offer struct {
		caller uint64
		class  pimentospread.Class
		count  int
	}
	scenarios := map[string]struct {
		offers []offer
		turns  int
		want   map[pimentospread.Class]map[pimentospread.CallerID]int
	}{
		"urgent work goes first and the lower class keeps one turn in twenty": {
			offers: []offer{{1, low, 16}, {2, urgent, 16}, {3, urgent, 16}, {4, urgent, 16}}, turns: 40,
			want: map[pimentospread.Class]map[pimentospread.CallerID]int{low: {1: 2}, urgent: {2: 13, 3: 13, 4: 12}},
		},
		"callers are served in turn": {
			offers: []offer{{1, low, 16}, {2, low, 2}, {3, low, 4}}, turns: 12,
			want: map[pimentospread.Class]map[pimentospread.CallerID]int{low: {1: 6, 2: 2, 3: 4}, urgent: {}},
		},
		"the caller with the most requests is evicted from a full class": {
			offers: []offer{{1, low, 16}, {2, low, 16}, {3, low, 16}, {4, low, 16}, {5, low, 16}}, turns: 64,
			want: map[pimentospread.Class]map[pimentospread.CallerID]int{low: {1: 13, 2: 13, 3: 13, 4: 13, 5: 12}, urgent: {}},
		},
		"urgent work evicts less urgent work": {
			offers: []offer{{1, low, 16}, {2, low, 16}, {3, low, 16}, {4, low, 16}, {5, urgent, 8}}, turns: 64,
			want: map[pimentospread.Class]map[pimentospread.CallerID]int{low: {1: 14, 2: 14, 3: 14, 4: 14}, urgent: {5: 8}},
		},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(QueueDeps{})
			q.Configure(start, []Service{testService(1, 2)}, hostIDs(1), "host-0")
			sequence := uint64(0)
			for _, o := range s.offers {
				for range o.count {
					sequence++
					q.Offer(start, work(o.caller, sequence, o.class, start))
				}
			}
			got := map[pimentospread.Class]map[pimentospread.CallerID]int{low: {}, urgent: {}}
			for range s.turns {
				w, _ := q.Next(start, 1)
				got[w.Class][w.Caller]++
			}
			if diff := cmp.Diff(s.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestQueueRefusesWorkThatWouldWaitTooLong guards against queued work whose deadline
// passes before its turn.
func TestQueueRefusesWorkThatWouldWaitTooLong(t *testing.T) {
	q := NewQueue(QueueDeps{})
	q.Configure(start, []Service{testService(1, 2)}, hostIDs(1), "host-0")
	q.Ended(start, 1, time.Second)
	for i := range uint64(4) {
		q.Offer(start, work(i+1, 1, low, start))
	}
	workWithDeadline := func(caller uint64, class pimentospread.Class, left time.Duration) pimentospread.Work {
		w := work(caller, 2, class, start)
		w.Deadline = start.Add(left)
		return w
	}
	late, soon, first := workWithDeadline(9, low, time.Second), workWithDeadline(10, low, 3*time.Second), workWithDeadline(11, urgent, time.Second)
	want := []pimentospread.Refusal{{Work: late, Reason: ReasonWaitTooLong}}
	got := append(append(q.Offer(start, late), q.Offer(start, soon)...), q.Offer(start, first)...)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
