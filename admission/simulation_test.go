package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"pimentospread"
)

// simulation runs several hosts, each with its own queue and limiter, against fake
// targets with a fake clock. Hosts exchange no messages.
type simulation struct {
	now     time.Time
	events  events
	hosts   []simulatedHost
	targets []*fakeTarget
	means   map[pimentospread.Class]time.Duration

	offered, done map[pimentospread.Class][]int // by second
	// slotTime is the time in seconds for which each class occupied slots.
	slotTime map[pimentospread.Class]float64
	byCaller map[pimentospread.CallerID]int
	results  map[pimentospread.Result]int
	arrivals uint64

	// maxUse and meanUse sum the highest and the mean slot use of the targets over the samples.
	samples, maxUse, meanUse float64
}

type simulatedHost struct {
	pimentospread.Admission
	pimentospread.Placement
}

// fakeTarget runs up to slots requests at a time. It sheds the excess, or queues it if
// queues is true. A silent target never answers and a failed one fails at once, and
// both report idle.
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

// stream is a Poisson process of requests of one class, from second first to before last.
type stream struct {
	class       pimentospread.Class
	callers     []uint64
	rate        float64
	first, last int
}

func newSimulation(s Service, hosts int, build func(host int) simulatedHost) *simulation {
	sim := &simulation{
		now: start, means: map[pimentospread.Class]time.Duration{urgent: 100 * time.Millisecond, low: 300 * time.Millisecond},
		offered: map[pimentospread.Class][]int{}, done: map[pimentospread.Class][]int{},
		slotTime: map[pimentospread.Class]float64{}, byCaller: map[pimentospread.CallerID]int{}, results: map[pimentospread.Result]int{},
	}
	for h := range hosts {
		sim.hosts = append(sim.hosts, build(h))
	}
	for _, t := range s.Targets {
		sim.targets = append(sim.targets, &fakeTarget{slots: int(t.Slots)})
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	heap.Push(&sim.events, event{sim.now.Add(d), run})
}

func (sim *simulation) second() int { return int(sim.now.Sub(start) / time.Second) }

// run simulates the streams. Each has its own random source, so that adding a stream
// does not change the others.
func (sim *simulation) run(seconds int, seed uint64, streams ...stream) {
	for i, s := range streams {
		sim.offered[s.class], sim.done[s.class] = make([]int, seconds+1), make([]int, seconds+1)
		sim.arrive(s, rand.New(rand.NewPCG(seed, uint64(i)))) //nolint:gosec // a fixed seed is wanted
	}
	sim.tick(0)
	for end := start.Add(time.Duration(seconds) * time.Second); len(sim.events) > 0; {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(end) {
			return
		}
		sim.now = e.at
		e.run()
	}
}

// arrive schedules the next request of the stream.
func (sim *simulation) arrive(s stream, r *rand.Rand) {
	wait := time.Duration(r.ExpFloat64() / s.rate * float64(time.Second))
	if sim.second() < s.first {
		wait = time.Duration(s.first) * time.Second
	}
	sim.after(wait, func() {
		if sim.second() >= s.last {
			return
		}
		sim.arrivals++
		h := sim.hosts[r.IntN(len(sim.hosts))]
		w := work(s.callers[r.IntN(len(s.callers))], r.Uint64(), s.class, sim.now)
		sim.offered[s.class][sim.second()]++
		h.Offer(sim.now, w)
		sim.dispatch(h)
		sim.arrive(s, r)
	})
}

// tick samples the slot use and expires work every 10 ms. Targets send load reports
// every 500 ms, which arrive 500 ms later.
func (sim *simulation) tick(n int) {
	sum, high := 0.0, 0.0
	for i, t := range sim.targets {
		use := float64(t.running+len(t.held)) / float64(t.slots)
		t.use, sum, high = t.use+use, sum+use, max(high, use)
		if n%50 == 0 {
			r := pimentospread.LoadReport{Target: pimentospread.TargetID(i + 1), Healthy: true, Running: pimentospread.Slots(t.running), At: sim.now}
			sim.after(500*time.Millisecond, func() {
				for _, h := range sim.hosts {
					h.Report(sim.now, r)
				}
			})
		}
	}
	sim.samples, sim.maxUse, sim.meanUse = sim.samples+1, sim.maxUse+high, sim.meanUse+sum/float64(len(sim.targets))
	for _, h := range sim.hosts {
		h.Expire(sim.now)
		sim.dispatch(h)
	}
	sim.after(10*time.Millisecond, func() { sim.tick(n + 1) })
}

// dispatch sends waiting work of the host while the limiter has free slots.
func (sim *simulation) dispatch(h simulatedHost) {
	for h.Waiting(1) > 0 {
		id, ok := h.Pick(sim.now, 1, nil)
		if !ok {
			return
		}
		w, ok := h.Next(sim.now, 1)
		if !ok {
			h.Finish(sim.now, id, pimentospread.ResultCancelled, 0)
			return
		}
		h.Started(sim.now, 1)
		sim.attempt(h, w, id)
	}
}

// attempt sends the work to the target.
func (sim *simulation) attempt(h simulatedHost, w pimentospread.Work, id pimentospread.TargetID) {
	t, began := sim.targets[id-1], sim.now
	end := func(result pimentospread.Result) func() {
		return func() { sim.end(h, w, id, result, sim.now.Sub(began)) }
	}
	switch {
	case t.silent:
		sim.after(time.Second, end(pimentospread.ResultTimeout))
	case t.failed:
		sim.after(time.Millisecond, end(pimentospread.ResultFailed))
	case t.running < t.slots:
		sim.serve(t, w, end(pimentospread.ResultDone))
	case t.queues:
		t.held = append(t.held, func() { sim.serve(t, w, end(pimentospread.ResultDone)) })
	default:
		sim.after(time.Millisecond, end(pimentospread.ResultShed))
	}
}

// serve runs the work at the target for a duration that depends on the request only.
func (sim *simulation) serve(t *fakeTarget, w pimentospread.Work, end func()) {
	t.running++
	unit := (float64(w.Request.Hash()>>11) + 0.5) / (1 << 53)
	took := time.Duration(-math.Log(unit) * float64(sim.means[w.Class]))
	sim.after(took, func() {
		t.running--
		if len(t.held) > 0 {
			next := t.held[0]
			t.held = t.held[1:]
			next()
		}
		sim.slotTime[w.Class] += took.Seconds()
		end()
	})
}

// end handles the result of an attempt and retries a shed one if the budget allows.
func (sim *simulation) end(h simulatedHost, w pimentospread.Work, id pimentospread.TargetID, result pimentospread.Result, took time.Duration) {
	h.Finish(sim.now, id, result, took)
	sim.results[result]++
	if result == pimentospread.ResultShed && h.AllowRetry(sim.now, 1) {
		if other, ok := h.Pick(sim.now, 1, []pimentospread.TargetID{id}); ok {
			sim.attempt(h, w, other)
			return
		}
		h.Offer(sim.now, w)
		sim.dispatch(h)
		return
	}
	h.Ended(sim.now, 1, took)
	if result == pimentospread.ResultDone {
		sim.done[w.Class][sim.second()]++
		sim.byCaller[w.Caller]++
	}
	sim.dispatch(h)
}
