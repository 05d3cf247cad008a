package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/pool"
)

func newTestLimiter(s Service, hosts int) *Limiter {
	l := NewLimiter(LimiterDeps{})
	l.Configure(start, []Service{s}, hostIDs(hosts), "host-0")
	return l
}

// pickAll picks until no slot is free and returns the number of picks per target.
func pickAll(l *Limiter, now time.Time) map[pimentospread.TargetID]int {
	got := map[pimentospread.TargetID]int{}
	for {
		id, ok := l.Pick(now, 1, nil)
		if !ok {
			return got
		}
		got[id]++
	}
}

func healthy(running pimentospread.Slots) pimentospread.LoadReport {
	return pimentospread.LoadReport{Target: 1, Healthy: true, Running: running}
}

// TestLimitFollowsResultsAndReports guards against a limit that ignores results,
// load reports or the release. One host owns both slots of target 1 and of target 2.
func TestLimitFollowsResultsAndReports(t *testing.T) {
	const shed, timeout, failed, done = pimentospread.ResultShed, pimentospread.ResultTimeout, pimentospread.ResultFailed, pimentospread.ResultDone
	type step func(*Limiter, Service)
	finish := func(r pimentospread.Result, took time.Duration) step {
		return func(l *Limiter, _ Service) {
			l.targets[1].acquire(start)
			l.Finish(start, 1, r, took)
		}
	}
	report := func(r pimentospread.LoadReport) step {
		return func(l *Limiter, _ Service) { l.Report(start, r) }
	}
	change := func(edit func(*Service)) step {
		return func(l *Limiter, s Service) {
			edit(&s)
			l.Configure(start, []Service{s}, hostIDs(1), "host-0")
		}
	}
	unhealthy, draining := pimentospread.LoadReport{Target: 1}, healthy(0)
	draining.Draining = true
	cold := healthy(0)
	cold.Cold = true
	both, one, none := map[pimentospread.TargetID]int{1: 2, 2: 2}, map[pimentospread.TargetID]int{1: 1, 2: 2}, map[pimentospread.TargetID]int{2: 2}
	scenarios := map[string]struct {
		steps []step
		after time.Duration
		want  map[pimentospread.TargetID]int
	}{
		"no results or reports":              {nil, 0, both},
		"shed attempt halves":                {[]step{finish(shed, 0)}, 0, one},
		"timeout halves":                     {[]step{finish(timeout, 0)}, 0, one},
		"limit grows by one slot per second": {[]step{finish(shed, 0)}, time.Second, both},
		"second shed attempt cuts below one": {[]step{finish(shed, 0), finish(shed, 0)}, 0, none},
		"fast failure halves":                {[]step{finish(done, time.Second), finish(failed, time.Millisecond)}, 0, one},
		"slow failure is ignored":            {[]step{finish(done, time.Second), finish(failed, time.Second)}, 0, both},
		"cancelled attempt is ignored":       {[]step{finish(pimentospread.ResultCancelled, 0)}, 0, both},
		"idle report does not raise":         {[]step{finish(timeout, 0), report(healthy(0))}, 0, one},
		"overload report lowers":             {[]step{report(healthy(4))}, 0, one},
		"overload report expires":            {[]step{report(healthy(4))}, reportTTL, both},
		"unhealthy target":                   {[]step{report(unhealthy)}, 0, none},
		"draining by report":                 {[]step{report(draining)}, time.Hour, none},
		"draining by release":                {[]step{change(func(s *Service) { s.Targets[0].State = pool.Draining })}, time.Hour, none},
		"cold by report":                     {[]step{report(cold)}, 9 * time.Second, one},
		"cold start over":                    {[]step{report(cold)}, 10 * time.Second, both},
		"new target starts cold": {[]step{change(func(s *Service) { s.Targets = append(s.Targets, pool.Target{ID: 3, Slots: 2}) })}, 0,
			map[pimentospread.TargetID]int{1: 2, 2: 2, 3: 1}},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			service := testService(2, 2)
			l := newTestLimiter(service, 1)
			for _, act := range s.steps {
				act(l, service)
			}
			if diff := cmp.Diff(s.want, pickAll(l, start.Add(s.after))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSpareSlot guards against a host that sends nothing because the only target
// where it owns a slot is excluded, and against more than one request in a spare slot
// at a time.
func TestSpareSlot(t *testing.T) {
	l := newTestLimiter(testService(4, 2), 8)
	own, ok := l.Pick(start, 1, nil)
	_, second := l.Pick(start, 1, nil)
	spare, third := l.Pick(start, 1, []pimentospread.TargetID{own})
	_, fourth := l.Pick(start, 1, []pimentospread.TargetID{own, spare})
	l.Finish(start, spare, pimentospread.ResultDone, time.Second)
	_, fifth := l.Pick(start, 1, []pimentospread.TargetID{own, spare})
	if diff := cmp.Diff([]bool{true, false, true, false, true}, []bool{ok, second, third, fourth, fifth}); diff != "" {
		t.Error(diff)
	}
}

// TestColdTargetAndLeavingHost guards against a cold target at which each host opens
// a slot instead of all hosts together, and against a leaving host that stops
// serving its queue.
func TestColdTargetAndLeavingHost(t *testing.T) {
	hosts, s := hostIDs(8), testService(14, 3)
	grown := testService(15, 3)
	for age, want := range map[time.Duration]int{0: 1, 5 * time.Second: 2, 10 * time.Second: 3} {
		got := 0
		for _, h := range hosts {
			l := NewLimiter(LimiterDeps{})
			l.Configure(start, []Service{s}, hosts, h)
			l.Configure(start, []Service{grown}, hosts, h)
			got += pickAll(l, start.Add(age))[15]
		}
		if got != want {
			t.Errorf("all hosts together use %d slots of a target %s after its start, want %d", got, age, want)
		}
	}
	l := newTestLimiter(s, 8)
	l.Configure(start, []Service{s}, hosts[1:], hosts[0])
	if got := len(pickAll(l, start)); got != 1 {
		t.Errorf("leaving host has slots at %d targets, want 1", got)
	}
}

// TestRetryBudget guards against retries that amplify an overload: more than one for
// ten first attempts, or any while the pool sheds more than half of the last 100
// attempts.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(testService(2, 2), 1)
		started, retried := 0, 0
		var history []bool
		t.Repeat(map[string]func(*rapid.T){
			"started": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					l.Started(start, 1)
					started++
				}
			},
			"attempts": func(t *rapid.T) {
				shed := rapid.Bool().Draw(t, "shed")
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					result := pimentospread.ResultDone
					if shed {
						result = pimentospread.ResultShed
					}
					l.Finish(start, 1, result, time.Second)
					history = append(history, shed)
				}
			},
			"retry": func(t *rapid.T) {
				shed := 0
				for _, s := range history[max(0, len(history)-100):] {
					if s {
						shed++
					}
				}
				if !l.AllowRetry(start, 1) {
					return
				}
				retried++
				if retried*10 > started || shed > 50 {
					t.Fatalf("retry %d after %d first attempts with %d of the last 100 attempts shed", retried, started, shed)
				}
			},
		})
	})
}
