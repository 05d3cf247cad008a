package soak

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"pimentospread/standin/owner"
)

const (
	// bound is the time within which drains and configurations take effect.
	bound = 3 * time.Second
	// calmTime without a fault must lie before a promise with a bound in time is checked.
	calmTime = 4 * time.Second
)

// judge checks the promises. One duty owns its book.
type judge struct {
	owner *owner.Owner[*book]
	ctx   context.Context //nolint:containedctx // the run's context, which ends the duty that answers
}

// book is what callers, targets and operators saw.
type book struct {
	// timed says that promises with a bound in time are checked too.
	timed bool
	start time.Time
	// flows holds the target of each open flow, and the address it was opened for.
	flows    map[netip.AddrPort]*target
	services map[netip.AddrPort]netip.AddrPort
	leaving  map[*target]time.Time
	crashed  map[*target]bool
	routes   map[netip.AddrPort][]routed
	runs     map[string]int
	faults   int
	calm     time.Time
	paused   time.Time
	versions map[string]uint64
	outcome  Outcome
}

// routed is the service of an address from a time on. It is empty for a dropped route.
type routed struct {
	service string
	since   time.Time
}

// Outcome is what a run found.
type Outcome struct {
	Seed       uint64         `json:"Seed"`
	Flows      int            `json:"Flows"`
	Unserved   int            `json:"Unserved"`
	Requests   int            `json:"Requests"`
	Faults     map[string]int `json:"Faults"`
	Violations []string       `json:"Violations"`
	// Broken counts the violations by promise.
	Broken map[string]int `json:"Broken,omitempty"`
}

func newBook(seed uint64, timed bool) *book {
	now := time.Now()
	return &book{
		timed: timed, start: now, calm: now, flows: map[netip.AddrPort]*target{}, services: map[netip.AddrPort]netip.AddrPort{},
		leaving: map[*target]time.Time{}, crashed: map[*target]bool{}, routes: map[netip.AddrPort][]routed{},
		runs: map[string]int{}, versions: map[string]uint64{}, outcome: Outcome{Seed: seed, Faults: map[string]int{}, Violations: []string{}, Broken: map[string]int{}},
	}
}

// tell changes the book and waits until that is done, so that events keep their order.
func (j *judge) tell(change func(b *book)) {
	if _, err := owner.Ask(j.ctx, j.owner, func(b *book) struct{} { change(b); return struct{}{} }); err != nil && j.ctx.Err() == nil {
		panic(fmt.Sprintf("judge does not answer: %v", err))
	}
}

func (b *book) violate(rule, format string, args ...any) {
	text := fmt.Sprintf("%.3f s %s: ", time.Since(b.start).Seconds(), rule) + fmt.Sprintf(format, args...)
	b.outcome.Violations = append(b.outcome.Violations, text)
	b.outcome.Broken[rule]++
}

// isCalm reports whether no fault was active for the time before now.
func (b *book) isCalm(now time.Time) bool {
	return b.timed && b.faults == 0 && now.Sub(b.calm) >= calmTime
}

func (j *judge) broken(rule, format string, args ...any) {
	j.tell(func(b *book) { b.violate(rule, format, args...) })
}

func (j *judge) trouble(format string, args ...any) { j.broken("stand-in", format, args...) }

// fault says that a fault begins. The function that it returns says that it ended.
func (j *judge) fault(name string) func() {
	j.tell(func(b *book) { b.faults++; b.outcome.Faults[name]++ })
	return func() {
		j.tell(func(b *book) {
			b.faults--
			b.calm = time.Now()
		})
		if name == "pause" {
			j.woken()
		}
	}
}

// woken says that a paused host goes on.
func (j *judge) woken() { j.tell(func(b *book) { b.paused = time.Now() }) }

func (j *judge) sent(caller, service netip.AddrPort) {
	j.tell(func(b *book) { b.services[caller] = service; b.outcome.Flows++ })
}

func (j *judge) ended(caller netip.AddrPort, err error) {
	j.tell(func(b *book) {
		delete(b.flows, caller)
		if err != nil {
			b.outcome.Unserved++
		}
	})
}

// ending says that the caller ends its flow itself.
func (j *judge) ending(caller netip.AddrPort) { j.tell(func(b *book) { delete(b.flows, caller) }) }

func (j *judge) opened(t *target, caller netip.AddrPort) {
	j.tell(func(b *book) {
		if _, taken := b.flows[caller]; !taken {
			b.flows[caller] = t
		}
	})
}

func (j *judge) closed(caller netip.AddrPort) { j.tell(func(b *book) { delete(b.flows, caller) }) }

// opening checks where a SYN arrived.
func (j *judge) opening(t *target, p packet) {
	j.tell(func(b *book) {
		now := time.Now()
		history := b.routes[p.destination]
		allowed, last := false, routed{}
		for _, r := range history {
			allowed = allowed || r.service == t.service
			last = r
		}
		if !allowed {
			b.violate("route", "SYN for %s arrived at %s of %s", p.destination, t.name, t.service)
		}
		if !b.isCalm(now) {
			return
		}
		if last.service != t.service && now.Sub(last.since) > bound {
			b.violate("config", "SYN for %s arrived at %s %s after %q took its place", p.destination, t.service, now.Sub(last.since), last.service)
		}
		if since, leaves := b.leaving[t]; leaves && now.Sub(since) > bound {
			b.violate("drain", "SYN arrived at %s %s after it began to leave", t.name, now.Sub(since))
		}
	})
}

// foreign checks a packet that reached a target which does not hold its flow. A
// host that was paused sends old packets on when it wakes, which may open a
// flow at a second target.
func (j *judge) foreign(t *target, p packet) {
	j.tell(func(b *book) {
		holder := b.flows[p.source]
		if holder == nil || holder == t || b.crashed[holder] || p.is(finFlag) || time.Since(b.paused) < calmTime {
			return
		}
		b.violate("flow", "packet of %s, which is open at %s, reached %s", p.source, holder.name, t.name)
	})
}

// reset checks a reset that a caller got on an open flow.
func (j *judge) reset(caller netip.AddrPort, p packet) {
	j.tell(func(b *book) {
		holder := b.flows[caller]
		history := b.routes[b.services[caller]]
		dropped := false
		for _, r := range history {
			dropped = dropped || r.service == ""
		}
		if p.sum == 0 && holder != nil && !b.crashed[holder] && !dropped {
			b.violate("flow", "the system reset %s, which is open at %s", caller, holder.name)
		}
	})
}

func (j *judge) ran(t *target, id string) {
	j.tell(func(b *book) {
		b.outcome.Requests++
		if b.runs[id]++; b.runs[id] > 1 {
			b.violate("unasked", "%s ran %s %d times", t.name, id, b.runs[id])
		}
	})
}

// version checks that the configuration of a process never goes back.
func (j *judge) version(process string, version uint64) {
	j.tell(func(b *book) {
		if version < b.versions[process] {
			b.violate("config", "process %s went back from version %d to %d", process, b.versions[process], version)
		}
		b.versions[process] = max(version, b.versions[process])
	})
}
