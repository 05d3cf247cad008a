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

// fault is a failure or a planned change. begin returns the function that ends
// it, or nil when it ends immediately.
type fault struct {
	name  string
	begin func(r *run, rng *rand.Rand) func()
	// planned is set for a change that operators make, during which invariants with a time bound
	// hold. It lasts plannedFactor times as long as a failure.
	planned bool
}

// plannedFactor makes planned changes last longer than the time in which they take effect.
const plannedFactor = 3

// faults lists all faults that a run may inject.
func faults() []fault {
	signal := func(s syscall.Signal, expectExit bool) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() {
			r.randomHost(rng).signal(s, expectExit)
			return nil
		}
	}
	admin := func(body string) func(*run, *rand.Rand) func() {
		return func(r *run, _ *rand.Rand) func() {
			r.callAdmin(http.MethodPut, "/admin/faults", body)
			return func() { r.callAdmin(http.MethodPut, "/admin/faults", "{}") }
		}
	}
	toPlatform := func(h *host) *proxy { return h.platformProxy }
	toHost := func(h *host) *proxy { return h.peerProxy }
	oneLink := func(proxyOf func(*host) *proxy) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() { return setLinkModes([]*host{r.randomHost(rng)}, proxyOf, rng) }
	}
	allLinks := func(proxyOf func(*host) *proxy) func(*run, *rand.Rand) func() {
		return func(r *run, rng *rand.Rand) func() { return setLinkModes(r.hosts, proxyOf, rng) }
	}
	return []fault{
		{name: "kill", begin: signal(syscall.SIGKILL, true)},
		{name: "stop", begin: signal(syscall.SIGTERM, true)},
		{name: "reload", begin: signal(syscall.SIGHUP, false)},
		{name: "pause", begin: func(r *run, rng *rand.Rand) func() {
			h := r.randomHost(rng)
			h.pause(true)
			return func() { h.pause(false) }
		}},
		{name: "link", begin: oneLink(toPlatform)},
		{name: "links", begin: allLinks(toPlatform)},
		{name: "outage", begin: admin(`{"Outage":true}`)},
		{name: "slow", begin: admin(`{"Latency":"300ms"}`)},
		{name: "deaf", begin: admin(`{"DeafWatches":true}`)},
		{name: "silence", begin: admin(`{"Silent":true}`)},
		{name: "lost answers", begin: admin(`{"LoseAnswers":3}`)},
		{name: "compaction", begin: func(r *run, _ *rand.Rand) func() {
			r.callAdmin(http.MethodPost, "/admin/compact", "")
			return nil
		}},
		{name: "crash", begin: func(r *run, rng *rand.Rand) func() { r.crashTarget(rng); return nil }},
		{name: "release", begin: func(r *run, rng *rand.Rand) func() { r.replaceTarget(rng); return nil }},
		{name: "configuration", begin: func(r *run, rng *rand.Rand) func() { r.writeConfiguration(rng); return nil }},
		{name: "storm", begin: func(r *run, rng *rand.Rand) func() {
			for range 5 {
				r.writeConfiguration(rng)
			}
			return nil
		}},
		{name: "peer link", begin: oneLink(toHost)},
		{name: "peer links", begin: allLinks(toHost)},
		{name: "late writes", begin: admin(`{"LateWrites":3,"LateBy":"2s"}`)},
		{name: "late events", begin: admin(`{"Lag":"700ms"}`)},
		{name: "few calls", begin: admin(`{"ReadsPerSecond":3,"WritesPerSecond":1}`)},
		{name: "restore", begin: func(r *run, rng *rand.Rand) func() { return r.restoreStore(rng) }},
		{name: "restart", begin: func(r *run, rng *rand.Rand) func() { r.restartTarget(rng); return nil }},
		{name: "evacuation", begin: func(r *run, rng *rand.Rand) func() { return r.evacuate(rng) }, planned: true},
	}
}

// setLinkModes sets the links of the hosts to one random mode other than passing,
// and returns the function that restores them.
func setLinkModes(hosts []*host, proxyOf func(*host) *proxy, rng *rand.Rand) func() {
	m := 1 + mode(rng.IntN(int(modeCount)-1))
	for _, h := range hosts {
		proxyOf(h).setMode(m)
	}
	return func() {
		for _, h := range hosts {
			proxyOf(h).setMode(passing)
		}
	}
}

// injectFaults injects faults in an order that the seed determines until the
// length of the run has passed. Faults may overlap; those that last end after a random time.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand, length time.Duration) {
	kinds := slices.DeleteFunc(faults(), func(f fault) bool {
		return len(r.config.Faults) > 0 && !slices.Contains(r.config.Faults, f.name)
	})
	deadline := time.Now().Add(length)
	// Faults end in timers of their own, because a write of a configuration may block
	// this loop until the end of an outage.
	var active sync.WaitGroup
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := kinds[rng.IntN(len(kinds))]
		duration := time.Duration(300+rng.IntN(3700)) * time.Millisecond
		pause := time.Duration(100+rng.IntN(1400)) * time.Millisecond
		r.writeDiary("%s for %s", f.name, duration)
		var end func()
		if f.planned {
			duration *= plannedFactor
			end = r.checker.beginChange(f.name)
		} else {
			end = r.checker.beginFault(f.name)
		}
		if undo := f.begin(r, rng); undo != nil {
			active.Add(1)
			time.AfterFunc(duration, func() {
				defer active.Done()
				undo()
				end()
			})
		} else {
			end()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	active.Wait()
	r.callAdmin(http.MethodPut, "/admin/faults", "{}")
}
