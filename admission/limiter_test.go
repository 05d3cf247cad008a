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

// takeAll picks until nothing is free and returns how many slots each target gave.
func takeAll(l *Limiter, now time.Time) map[pimentospread.TargetID]int {
	got := map[pimentospread.TargetID]int{}
	for {
		id, ok := l.Pick(now, 1, nil)
		if !ok {
			return got
		}
		got[id]++
	}
}

func healthy(id pimentospread.TargetID, running pimentospread.Slots) pimentospread.LoadReport {
	return pimentospread.LoadReport{Target: id, Healthy: true, Running: running}
}

// Guards against a limit that does not follow results, reports and the release
// as the design says. One host owns both slots of target 1 and of target 2.
func TestLimitFollowsWhatIsLearned(t *testing.T) {
	const shed, timeout, failed, done = pimentospread.ResultShed, pimentospread.ResultTimeout, pimentospread.ResultFailed, pimentospread.ResultDone
	finish := func(l *Limiter, r pimentospread.Result, took time.Duration) {
		l.targets[1].start(start)
		l.Finish(start, 1, r, took)
	}
	report := func(r pimentospread.LoadReport) func(*Limiter, Service) {
		return func(l *Limiter, _ Service) { l.Report(start, r) }
	}
	scenarios := map[string]struct {
		act   func(*Limiter, Service)
		after time.Duration
		want  map[pimentospread.TargetID]int
	}{
		"nothing learned":                  {func(*Limiter, Service) {}, 0, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"shed halves":                      {func(l *Limiter, _ Service) { finish(l, shed, 0) }, 0, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"timeout halves":                   {func(l *Limiter, _ Service) { finish(l, timeout, 0) }, 0, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"one slot grows in a second":       {func(l *Limiter, _ Service) { finish(l, shed, 0) }, time.Second, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"a second shed closes for a while": {func(l *Limiter, _ Service) { finish(l, shed, 0); finish(l, shed, 0) }, 0, map[pimentospread.TargetID]int{2: 2}},
		"a fast failure halves": {func(l *Limiter, _ Service) {
			finish(l, done, time.Second)
			finish(l, failed, time.Millisecond)
		}, 0, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"a slow failure does not count": {func(l *Limiter, _ Service) {
			finish(l, done, time.Second)
			finish(l, failed, time.Second)
		}, 0, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"a cancelled attempt does not count": {func(l *Limiter, _ Service) { finish(l, pimentospread.ResultCancelled, 0) }, 0, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"idle report raises nothing": {func(l *Limiter, _ Service) {
			finish(l, timeout, 0)
			l.Report(start, healthy(1, 0))
		}, 0, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"overload report lowers":    {report(healthy(1, 4)), 0, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"overload report wears off": {report(healthy(1, 4)), reportLife, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"unhealthy target":          {report(pimentospread.LoadReport{Target: 1}), 0, map[pimentospread.TargetID]int{2: 2}},
		"draining by report":        {report(pimentospread.LoadReport{Target: 1, Healthy: true, Draining: true}), time.Hour, map[pimentospread.TargetID]int{2: 2}},
		"draining by release": {func(l *Limiter, s Service) {
			s.Targets[0].State = pool.Draining
			l.Configure(start, []Service{s}, hostIDs(1), "host-0")
		}, time.Hour, map[pimentospread.TargetID]int{2: 2}},
		"cold by report":  {report(pimentospread.LoadReport{Target: 1, Healthy: true, Cold: true}), 9 * time.Second, map[pimentospread.TargetID]int{1: 1, 2: 2}},
		"cold start ends": {report(pimentospread.LoadReport{Target: 1, Healthy: true, Cold: true}), 10 * time.Second, map[pimentospread.TargetID]int{1: 2, 2: 2}},
		"new target starts cold": {func(l *Limiter, s Service) {
			s.Targets = append(s.Targets, pool.Target{ID: 3, Slots: 2})
			l.Configure(start, []Service{s}, hostIDs(1), "host-0")
		}, 0, map[pimentospread.TargetID]int{1: 2, 2: 2, 3: 1}},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			service := testService(2, 2)
			l := newTestLimiter(service, 1)
			s.act(l, service)
			if diff := cmp.Diff(s.want, takeAll(l, start.Add(s.after))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a host that stands still because the only target where it
// owns a slot is excluded, and against more than one such request at a time.
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

// Guards against retries that add load: more than one for ten first attempts,
// or any while the pool sheds more than half of the last 100 attempts.
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
