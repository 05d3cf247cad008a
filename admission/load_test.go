package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"pimentospread"
)

// load runs several hosts, each with its own queue and limiter, against fake
// targets under a fake clock. Hosts exchange no messages.
type load struct {
	now     time.Time
	events  events
	hosts   []loadHost
	targets []*fakeTarget
	means   map[pimentospread.Class]time.Duration

	offered, done map[pimentospread.Class][]int // by second
	slotTime      map[pimentospread.Class]float64
	byCaller      map[pimentospread.CallerID]int
	results       map[pimentospread.Result]int
	arrivals      uint64

	samples, maxUse, meanUse float64
}

type loadHost struct {
	pimentospread.Admission
	pimentospread.Placement
}

// fakeTarget runs up to slots requests. Beyond that it sheds, or holds
// requests back when it queues. It may report idle and never answer, or fail at once.
type fakeTarget struct {
	slots, running         int
	queues, silent, failed bool
	held                   []func()
	use                    float64
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { v := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return v }

// stream is a Poisson process of requests of one class, from second first to last.
type stream struct {
	class       pimentospread.Class
	callers     []uint64
	rate        float64
	first, last int
}

func newLoad(s Service, hosts int, build func(host int) loadHost) *load {
	l := &load{
		now: start, means: map[pimentospread.Class]time.Duration{urgent: 100 * time.Millisecond, low: 300 * time.Millisecond},
		offered: map[pimentospread.Class][]int{}, done: map[pimentospread.Class][]int{},
		slotTime: map[pimentospread.Class]float64{}, byCaller: map[pimentospread.CallerID]int{}, results: map[pimentospread.Result]int{},
	}
	for h := range hosts {
		l.hosts = append(l.hosts, build(h))
	}
	for _, t := range s.Targets {
		l.targets = append(l.targets, &fakeTarget{slots: int(t.Slots)})
	}
	return l
}

func (l *load) after(d time.Duration, run func()) { heap.Push(&l.events, event{l.now.Add(d), run}) }

func (l *load) second() int { return int(l.now.Sub(start) / time.Second) }

// run plays the streams. Each has its own random source, so that adding one leaves the others as they are.
func (l *load) run(seconds int, seed uint64, streams ...stream) {
	for i, s := range streams {
		l.offered[s.class], l.done[s.class] = make([]int, seconds+1), make([]int, seconds+1)
		l.arrive(s, rand.New(rand.NewPCG(seed, uint64(i)))) //nolint:gosec // a fixed seed is wanted
	}
	l.tick(0)
	for end := start.Add(time.Duration(seconds) * time.Second); len(l.events) > 0; {
		e := heap.Pop(&l.events).(event)
		if e.at.After(end) {
			return
		}
		l.now = e.at
		e.run()
	}
}

func (l *load) arrive(s stream, r *rand.Rand) {
	wait := time.Duration(r.ExpFloat64() / s.rate * float64(time.Second))
	if l.second() < s.first {
		wait = time.Duration(s.first) * time.Second
	}
	l.after(wait, func() {
		if l.second() >= s.last {
			return
		}
		l.arrivals++
		h := l.hosts[r.IntN(len(l.hosts))]
		w := work(s.callers[r.IntN(len(s.callers))], r.Uint64(), s.class, l.now)
		l.offered[s.class][l.second()]++
		h.Offer(l.now, w)
		l.pump(h)
		l.arrive(s, r)
	})
}

// tick samples the use each 10 ms and lets the hosts expire work. Reports leave each 500 ms and arrive 500 ms late.
func (l *load) tick(n int) {
	sum, high := 0.0, 0.0
	for i, t := range l.targets {
		use := float64(t.running+len(t.held)) / float64(t.slots)
		t.use, sum, high = t.use+use, sum+use, max(high, use)
		if n%50 == 0 {
			r := pimentospread.LoadReport{Target: pimentospread.TargetID(i + 1), Healthy: true, Running: pimentospread.Slots(t.running), At: l.now}
			l.after(500*time.Millisecond, func() {
				for _, h := range l.hosts {
					h.Report(l.now, r)
				}
			})
		}
	}
	l.samples, l.maxUse, l.meanUse = l.samples+1, l.maxUse+high, l.meanUse+sum/float64(len(l.targets))
	for _, h := range l.hosts {
		h.Expire(l.now)
		l.pump(h)
	}
	l.after(10*time.Millisecond, func() { l.tick(n + 1) })
}

func (l *load) pump(h loadHost) {
	for h.Waiting(1) > 0 {
		id, ok := h.Pick(l.now, 1, nil)
		if !ok {
			return
		}
		w, ok := h.Next(l.now, 1)
		if !ok {
			h.Finish(l.now, id, pimentospread.ResultCancelled, 0)
			return
		}
		h.Started(l.now, 1)
		l.attempt(h, w, id)
	}
}

func (l *load) attempt(h loadHost, w pimentospread.Work, id pimentospread.TargetID) {
	t, began := l.targets[id-1], l.now
	end := func(result pimentospread.Result) func() {
		return func() { l.end(h, w, id, result, l.now.Sub(began)) }
	}
	switch {
	case t.silent:
		l.after(time.Second, end(pimentospread.ResultTimeout))
	case t.failed:
		l.after(time.Millisecond, end(pimentospread.ResultFailed))
	case t.running < t.slots:
		l.serve(t, w, end(pimentospread.ResultDone))
	case t.queues:
		t.held = append(t.held, func() { l.serve(t, w, end(pimentospread.ResultDone)) })
	default:
		l.after(time.Millisecond, end(pimentospread.ResultShed))
	}
}

func (l *load) serve(t *fakeTarget, w pimentospread.Work, end func()) {
	t.running++
	unit := (float64(w.Request.Hash()>>11) + 0.5) / (1 << 53)
	took := time.Duration(-math.Log(unit) * float64(l.means[w.Class]))
	l.after(took, func() {
		t.running--
		if len(t.held) > 0 {
			next := t.held[0]
			t.held = t.held[1:]
			next()
		}
		l.slotTime[w.Class] += took.Seconds()
		end()
	})
}

func (l *load) end(h loadHost, w pimentospread.Work, id pimentospread.TargetID, result pimentospread.Result, took time.Duration) {
	h.Finish(l.now, id, result, took)
	l.results[result]++
	if result == pimentospread.ResultShed && h.AllowRetry(l.now, 1) {
		if other, ok := h.Pick(l.now, 1, []pimentospread.TargetID{id}); ok {
			l.attempt(h, w, other)
			return
		}
		h.Offer(l.now, w)
		l.pump(h)
		return
	}
	h.Ended(l.now, 1, took)
	if result == pimentospread.ResultDone {
		l.done[w.Class][l.second()]++
		l.byCaller[w.Caller]++
	}
	l.pump(h)
}
