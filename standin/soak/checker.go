package soak

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"pimentospread/standin/owner"
)

const (
	// effectTime is the time within which drains and configurations take effect.
	effectTime = 3 * time.Second
	// evacuationTime is the time within which evacuations take effect.
	evacuationTime = 5 * time.Second
	// coldTime is how long a target that starts during a run is cold, and coldRate how many new
	// flows a second it bears meanwhile. All hosts together keep to coldBound.
	coldTime  = 4 * time.Second
	coldRate  = 4
	coldBound = coldRate*3/2 + 5
	// settleTime is the time without a fault after which invariants with a time bound
	// are checked.
	settleTime = 4 * time.Second
)

// checker checks the invariants of the load balancer. A single duty owns the
// observations; the methods of checker send it their changes.
type checker struct {
	owner *owner.Queue[*observations]
	ctx   context.Context //nolint:containedctx // the run's context; the duty that owns the observations ends with it
}

// observations holds what callers, targets and operators have observed.
type observations struct {
	// timed enables the invariants with a time bound.
	timed bool
	start time.Time
	// flows maps the caller of each open flow to the target that holds it.
	flows map[netip.AddrPort]*target
	// services maps each caller to the service address of its flow.
	services map[netip.AddrPort]netip.AddrPort
	// draining holds the time at which the drain of a target was acknowledged.
	draining map[*target]time.Time
	// evacuated holds the time at which the evacuation of a zone was acknowledged. It is zero
	// while the object is created or deleted.
	evacuated map[string]time.Time
	// coldFlows holds when each cold target got new flows.
	coldFlows map[*target][]time.Time
	// stopped holds targets that have crashed or ended after a drain.
	stopped map[*target]bool
	// routes holds the route changes of each service address, oldest first.
	routes map[netip.AddrPort][]routeChange
	// runs counts how often each request ran.
	runs         map[string]int
	activeFaults int
	lastFaultEnd time.Time
	// lastResume is when a paused host last resumed.
	lastResume time.Time
	// versions holds the highest configuration version of each process.
	versions map[string]uint64
	outcome  Outcome
}

// routeChange records the service that an address is routed to since a point in
// time. The service is empty for a removed route.
type routeChange struct {
	service string
	since   time.Time
}

// Outcome holds the results of a run.
type Outcome struct {
	Seed uint64 `json:"Seed"`
	// Flows counts the flows that callers started.
	Flows int `json:"Flows"`
	// Unserved counts the flows that ended with an error.
	Unserved int `json:"Unserved"`
	// Requests counts the requests that targets ran.
	Requests int `json:"Requests"`
	// Faults counts the injected faults by name.
	Faults     map[string]int `json:"Faults"`
	Violations []string       `json:"Violations"`
	// Broken counts the violations of each invariant.
	Broken map[string]int `json:"Broken,omitempty"`
}

func newObservations(seed uint64, timed bool) *observations {
	now := time.Now()
	return &observations{
		timed: timed, start: now, lastFaultEnd: now, flows: map[netip.AddrPort]*target{}, services: map[netip.AddrPort]netip.AddrPort{},
		draining: map[*target]time.Time{}, evacuated: map[string]time.Time{}, coldFlows: map[*target][]time.Time{}, stopped: map[*target]bool{}, routes: map[netip.AddrPort][]routeChange{},
		runs: map[string]int{}, versions: map[string]uint64{}, outcome: Outcome{Seed: seed, Faults: map[string]int{}, Violations: []string{}, Broken: map[string]int{}},
	}
}

// update applies a change to the observations and waits until it is applied, so
// that events keep their order.
func (c *checker) update(change func(o *observations)) {
	if _, err := owner.Do(c.ctx, c.owner, func(o *observations) struct{} { change(o); return struct{}{} }); err != nil && c.ctx.Err() == nil {
		panic(fmt.Sprintf("cannot apply a change to the observations of the soak: %v", err))
	}
}

// addViolation records a violation of the invariant with the given rule.
func (o *observations) addViolation(rule, format string, args ...any) {
	text := fmt.Sprintf("%.3f s %s: ", time.Since(o.start).Seconds(), rule) + fmt.Sprintf(format, args...)
	o.outcome.Violations = append(o.outcome.Violations, text)
	o.outcome.Broken[rule]++
}

// settled reports whether invariants with a time bound are checked at the given
// time: they are enabled, and no fault was active during the last settleTime.
func (o *observations) settled(now time.Time) bool {
	return o.timed && o.activeFaults == 0 && now.Sub(o.lastFaultEnd) >= settleTime
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.update(func(o *observations) { o.addViolation(rule, format, args...) })
}

// standInFailed records an error of the soak itself, which also fails the run.
func (c *checker) standInFailed(format string, args ...any) {
	c.addViolation("stand-in", format, args...)
}

// beginFault records the start of a fault. The returned function records its end.
func (c *checker) beginFault(name string) func() {
	c.update(func(o *observations) { o.activeFaults++; o.outcome.Faults[name]++ })
	return func() {
		c.update(func(o *observations) {
			o.activeFaults--
			o.lastFaultEnd = time.Now()
		})
		if name == "pause" {
			c.hostResumed()
		}
	}
}

// beginChange counts a planned change. Invariants with a time bound hold meanwhile, so the
// returned function does nothing.
func (c *checker) beginChange(name string) func() {
	c.update(func(o *observations) { o.outcome.Faults[name]++ })
	return func() {}
}

// hostResumed records that a paused host resumes.
func (c *checker) hostResumed() { c.update(func(o *observations) { o.lastResume = time.Now() }) }

// flowStarted records that a caller is about to open a flow to a service address.
func (c *checker) flowStarted(caller, service netip.AddrPort) {
	c.update(func(o *observations) { o.services[caller] = service; o.outcome.Flows++ })
}

// flowEnded records that the caller has finished a flow, with its error if any.
func (c *checker) flowEnded(caller netip.AddrPort, err error) {
	c.update(func(o *observations) {
		delete(o.flows, caller)
		if err != nil {
			o.outcome.Unserved++
		}
	})
}

// flowClosing records that the caller closes its flow.
func (c *checker) flowClosing(caller netip.AddrPort) {
	c.update(func(o *observations) { delete(o.flows, caller) })
}

// flowOpened records the target at which a flow was opened first.
func (c *checker) flowOpened(t *target, caller netip.AddrPort) {
	c.update(func(o *observations) {
		if _, taken := o.flows[caller]; !taken {
			o.flows[caller] = t
		}
	})
}

// flowClosed records that a target received the FIN of a flow.
func (c *checker) flowClosed(caller netip.AddrPort) {
	c.update(func(o *observations) { delete(o.flows, caller) })
}

// checkSYN checks that a SYN arrived at a target of the routed service that is not draining.
func (c *checker) checkSYN(t *target, p packet) {
	c.update(func(o *observations) {
		now := time.Now()
		changes := o.routes[p.destination]
		allowed, last := false, routeChange{}
		for _, r := range changes {
			allowed = allowed || r.service == t.service
			last = r
		}
		if !allowed {
			o.addViolation("route", "SYN for %s arrived at %s of %s", p.destination, t.name, t.service)
		}
		if !o.settled(now) {
			return
		}
		if last.service != t.service && now.Sub(last.since) > effectTime {
			o.addViolation("config", "SYN for %s arrived at %s %s after %q took its place", p.destination, t.service, now.Sub(last.since), last.service)
		}
		if since, leaves := o.draining[t]; leaves && now.Sub(since) > effectTime {
			o.addViolation("drain", "SYN arrived at %s %s after it began to leave", t.name, now.Sub(since))
		}
		if since := o.evacuated[t.zone]; !since.IsZero() && now.Sub(since) > evacuationTime {
			o.addViolation("evacuation", "SYN arrived at %s %s after %s was evacuated", t.name, now.Sub(since), t.zone)
		}
	})
}

// checkColdFlow checks that a cold target gets at most coldBound new flows in any second.
func (c *checker) checkColdFlow(t *target) {
	c.update(func(o *observations) {
		now := time.Now()
		flows := append(o.coldFlows[t], now)
		o.coldFlows[t] = flows
		if n := len(flows); n > coldBound && now.Sub(flows[n-1-coldBound]) < time.Second {
			o.addViolation("cold", "%s got more than %d new flows within a second while it was cold", t.name, coldBound)
		}
	})
}

// checkStrayPacket checks a packet that reached a target which does not hold its
// flow. Such packets are allowed shortly after a paused host resumed: it forwards
// old packets then, which may open a flow at a second target.
func (c *checker) checkStrayPacket(t *target, p packet) {
	c.update(func(o *observations) {
		holder := o.flows[p.source]
		if holder == nil || holder == t || o.stopped[holder] || p.is(finFlag) || time.Since(o.lastResume) < settleTime {
			return
		}
		o.addViolation("flow", "packet of %s, which is open at %s, reached %s", p.source, holder.name, t.name)
	})
}

// checkReset checks a reset that a caller received on an open flow. A packet
// without a checksum was sent by the load balancer, not by a target.
func (c *checker) checkReset(caller netip.AddrPort, p packet) {
	c.update(func(o *observations) {
		holder := o.flows[caller]
		changes := o.routes[o.services[caller]]
		dropped := false
		for _, r := range changes {
			dropped = dropped || r.service == ""
		}
		if p.checksum == 0 && holder != nil && !o.stopped[holder] && !dropped {
			o.addViolation("flow", "the system reset %s, which is open at %s", caller, holder.name)
		}
	})
}

// requestRan records that a target ran a request, which must happen only once.
func (c *checker) requestRan(t *target, id string) {
	c.update(func(o *observations) {
		o.outcome.Requests++
		if o.runs[id]++; o.runs[id] > 1 {
			o.addViolation("unasked", "%s ran %s %d times", t.name, id, o.runs[id])
		}
	})
}

// checkVersion checks that the configuration version of a process never decreases.
func (c *checker) checkVersion(process string, version uint64) {
	c.update(func(o *observations) {
		if version < o.versions[process] {
			o.addViolation("config", "process %s went back from version %d to %d", process, o.versions[process], version)
		}
		o.versions[process] = max(version, o.versions[process])
	})
}
