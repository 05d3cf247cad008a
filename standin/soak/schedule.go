package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// fault is something that goes wrong, or a planned change. It returns what
// ends it, or nil when it is over at once.
type fault struct {
	name  string
	begin func(r *run, rng *rand.Rand) func()
}

// faults lists all that a run may inject.
func faults() []fault {
	signal := func(s syscall.Signal, ends bool) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() {
			r.anyHost(rng).signal(s, ends)
			return nil
		}
	}
	admin := func(body string) func(*run, *rand.Rand) func() {
		return func(r *run, _ *rand.Rand) func() {
			r.admin(http.MethodPut, "/admin/faults", body)
			return func() { r.admin(http.MethodPut, "/admin/faults", "{}") }
		}
	}
	toPlatform := func(h *host) *proxy { return h.proxy }
	toHost := func(h *host) *proxy { return h.peers }
	one := func(which func(*host) *proxy) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() { return disturbLinks([]*host{r.anyHost(rng)}, which, rng) }
	}
	all := func(which func(*host) *proxy) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() { return disturbLinks(r.hosts, which, rng) }
	}
	return []fault{
		{"kill", signal(syscall.SIGKILL, true)},
		{"stop", signal(syscall.SIGTERM, true)},
		{"reload", signal(syscall.SIGHUP, false)},
		{"pause", func(r *run, rng *rand.Rand) func() {
			h := r.anyHost(rng)
			h.pause(true)
			return func() { h.pause(false) }
		}},
		{"link", one(toPlatform)},
		{"links", all(toPlatform)},
		{"outage", admin(`{"Outage":true}`)},
		{"slow", admin(`{"Latency":"300ms"}`)},
		{"deaf", admin(`{"DeafWatches":true}`)},
		{"silence", admin(`{"Silent":true}`)},
		{"lost answers", admin(`{"LoseAnswers":3}`)},
		{"compaction", func(r *run, _ *rand.Rand) func() {
			r.admin(http.MethodPost, "/admin/compact", "")
			return nil
		}},
		{"crash", func(r *run, rng *rand.Rand) func() { r.crash(rng); return nil }},
		{"release", func(r *run, rng *rand.Rand) func() { r.replace(rng); return nil }},
		{"configuration", func(r *run, rng *rand.Rand) func() { r.configure(rng); return nil }},
		{"storm", func(r *run, rng *rand.Rand) func() {
			for range 5 {
				r.configure(rng)
			}
			return nil
		}},
		{"peer link", one(toHost)},
		{"peer links", all(toHost)},
		{"late writes", admin(`{"LateWrites":3,"LateBy":"2s"}`)},
		{"late events", admin(`{"Lag":"700ms"}`)},
		{"few calls", admin(`{"ReadsPerSecond":3,"WritesPerSecond":1}`)},
	}
}

// disturbLinks gives the links of the hosts one mode, and returns what ends it.
func disturbLinks(hosts []*host, which func(*host) *proxy, rng *rand.Rand) func() {
	m := 1 + mode(rng.IntN(int(modes)-1))
	for _, h := range hosts {
		which(h).set(m)
	}
	return func() {
		for _, h := range hosts {
			which(h).set(passing)
		}
	}
}

// disturb injects faults in an order that the seed gives until the time is up.
// They overlap, and each ends by itself.
func (r *run) disturb(ctx context.Context, rng *rand.Rand, length time.Duration) {
	list := slices.DeleteFunc(faults(), func(f fault) bool {
		return len(r.config.Faults) > 0 && !slices.Contains(r.config.Faults, f.name)
	})
	end := time.Now().Add(length)
	// What ends a fault runs by itself: a change of the operator may be waiting
	// for the end of an outage.
	var active sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		f := list[rng.IntN(len(list))]
		lasts := time.Duration(300+rng.IntN(3700)) * time.Millisecond
		pause := time.Duration(100+rng.IntN(1400)) * time.Millisecond
		r.note("%s for %s", f.name, lasts)
		over := r.judge.fault(f.name)
		if undo := f.begin(r, rng); undo != nil {
			active.Add(1)
			time.AfterFunc(lasts, func() {
				defer active.Done()
				undo()
				over()
			})
		} else {
			over()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	active.Wait()
	r.admin(http.MethodPut, "/admin/faults", "{}")
}
