package dataplane_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
)

// scenario configures the faults and the load of a simulation. The percentages are shares of messages.
type scenario struct {
	Seed                                                    uint64
	Hosts, Domains, Requests                                int
	LossPercent, DuplicatePercent, SlowPercent, ShedPercent int
	// Copies bounds the transmissions of a request. CancelPercent is the share of those that cancel it.
	Copies, CancelPercent int
	// IgnoreAnnouncedRosters makes hosts not fetch a roster that a heartbeat announces.
	IgnoreAnnouncedRosters bool
	// Window is the time in which the requests start.
	Window time.Duration
	Faults []fault
}

type faultKind int

const (
	killHost faultKind = iota
	restartHost
	pauseHost
	cutOneWay
	cutBothWays
	changeRoster
	// partitionAndChangeRoster and pauseAndChangeRoster cut off or pause hosts
	// while the platform removes some of them from the roster.
	partitionAndChangeRoster
	pauseAndChangeRoster
	faultKindCount
)

// fault affects the hosts whose bits are set in Hosts. If it changes the roster,
// the new one contains all other hosts, with those in LeavingHosts leaving. Those
// in LateHosts receive it much later.
type fault struct {
	Kind                           faultKind
	At, Duration                   time.Duration
	Hosts, LateHosts, LeavingHosts int
}

func (f fault) affects(h *simulatedHost) bool { return f.Hosts>>h.index&1 == 1 }

func drawScenario(t *rapid.T) scenario {
	// SampledFrom draws all values with equal probability. A range would favor small sets of hosts and short faults.
	below := func(label string, n int) int {
		values := make([]int, n)
		for i := range values {
			values[i] = i
		}
		return rapid.SampledFrom(values).Draw(t, label)
	}
	percent := func(label string, choices ...int) int { return rapid.SampledFrom(choices).Draw(t, label) }
	s := scenario{
		Seed:                   rapid.Uint64().Draw(t, "seed"),
		Hosts:                  4 + below("hosts", 5),
		Domains:                1 + below("domains", 4),
		Requests:               10 + below("requests", 51),
		LossPercent:            percent("loss", 0, 2, 20),
		DuplicatePercent:       percent("duplicate", 0, 20, 60),
		SlowPercent:            percent("slow", 0, 2, 20, 60),
		IgnoreAnnouncedRosters: rapid.Bool().Draw(t, "ignore announced rosters"),
		ShedPercent:            percent("shed", 0, 30, 90),
		Copies:                 2 + below("copies", 9),
		CancelPercent:          percent("cancels", 0, 3),
		Window:                 rapid.SampledFrom([]time.Duration{2 * time.Second, 10 * time.Second, 35 * time.Second}).Draw(t, "window"),
	}
	for range below("faults", 8) {
		f := fault{Kind: faultKind(below("kind", int(faultKindCount)))}
		f.At = time.Duration(below("at", int((s.Window+simulationLifetime)/time.Second))) * time.Second
		f.Duration = time.Duration(below("for", 35)) * time.Second
		f.Hosts, f.LateHosts, f.LeavingHosts = below("affected", 1<<s.Hosts), below("late", 1<<s.Hosts), below("leaving", 1<<s.Hosts)
		s.Faults = append(s.Faults, f)
	}
	return s
}

// runScenario schedules the requests and faults of the scenario, and runs the simulation to its end.
func (sim *simulation) runScenario() {
	for i := range sim.scenario.Requests {
		sim.schedule(time.Second+time.Duration(sim.random.Int64N(int64(sim.scenario.Window))), func() { sim.transmit(uint64(i + 1)) })
	}
	for _, f := range sim.scenario.Faults {
		sim.schedule(f.At, func() { sim.injectFault(f) })
	}
	sim.advance(sim.scenario.Window + 3*simulationLifetime)
}

// transmit delivers the copies of a request to random hosts, most of them early.
func (sim *simulation) transmit(sequence uint64) {
	deadline := sim.now.Add(simulationLifetime - time.Second/2 - time.Duration(sim.random.IntN(2000))*time.Millisecond)
	q := newRequest(sequence%5, sequence, deadline, sequence%4 == 0)
	for i := range 1 + sim.random.IntN(sim.scenario.Copies) {
		copied := q
		copied.Cancelled = sim.random.IntN(100) < sim.scenario.CancelPercent
		to := sim.hosts[sim.random.IntN(len(sim.hosts))]
		delay := time.Duration(sim.random.IntN(40)) * time.Millisecond
		if i > 0 && sim.random.IntN(2) == 0 {
			delay = time.Duration(sim.random.IntN(int(simulationLifetime)))
		}
		sim.schedule(delay, func() {
			sim.runAt(to, func(now time.Time, actions *dataplane.RequestActions) { to.node.HandleRequest(now, copied, actions) })
		})
	}
}

func (sim *simulation) injectFault(f fault) {
	switch f.Kind {
	case changeRoster:
		sim.publishRoster(f)
		return
	case partitionAndChangeRoster, pauseAndChangeRoster:
		sim.publishRoster(fault{Hosts: f.Hosts & f.LeavingHosts, LateHosts: f.Hosts, Duration: f.Duration})
		f.Kind = map[faultKind]faultKind{partitionAndChangeRoster: cutBothWays, pauseAndChangeRoster: pauseHost}[f.Kind]
	}
	for _, h := range sim.hosts {
		for _, p := range sim.hosts {
			if f.affects(h) && !f.affects(p) && f.Kind >= cutOneWay {
				sim.blockedUntil[[2]int{h.index, p.index}] = sim.now.Add(f.Duration)
			}
			if f.affects(h) && !f.affects(p) && f.Kind == cutBothWays {
				sim.blockedUntil[[2]int{p.index, h.index}] = sim.now.Add(f.Duration)
			}
		}
		switch {
		case !f.affects(h):
		case f.Kind == killHost || f.Kind == restartHost:
			h.dead = true
			if f.Kind == restartHost {
				sim.schedule(f.Duration/20, func() { sim.restartNode(h) })
			}
		case f.Kind == pauseHost:
			h.pausedUntil = sim.now.Add(f.Duration)
		}
	}
}

func (sim *simulation) restartNode(h *simulatedHost) {
	if !h.dead {
		return
	}
	current, previous := h.view.Roster, member.Roster{}
	if sim.random.IntN(2) == 0 {
		previous = h.view.PreviousRoster
	}
	h.pausedUntil, h.started = sim.now, sim.now
	sim.startNode(h, current, previous)
}

// publishRoster publishes a new roster, which the hosts receive at different times.
func (sim *simulation) publishRoster(f fault) {
	next := member.Roster{Version: pimentospread.ObjectVersion(len(sim.rosters) + 1)}
	for _, h := range sim.hosts {
		state := member.Live
		if f.LeavingHosts>>h.index&1 == 1 {
			state = member.Leaving
		}
		if !f.affects(h) {
			next.Hosts = append(next.Hosts, member.Host{ID: h.id, FailureDomain: h.domain, State: state})
		}
	}
	if len(next.Hosts) < 3 {
		return
	}
	sim.rosters = append(sim.rosters, next)
	for _, h := range sim.hosts {
		delay := time.Duration(sim.random.IntN(1000)) * time.Millisecond
		if f.LateHosts>>h.index&1 == 1 {
			delay += f.Duration
		}
		sim.schedule(delay, func() { sim.receiveRoster(h, next.Version) })
	}
}

// violations lists the contradictions between the replies to callers and the runs at the targets.
func (sim *simulation) violations() []string {
	var found []string
	for _, token := range slices.Sorted(maps.Keys(sim.runCounts)) {
		var sequence int
		_, _ = fmt.Sscan(token, &sequence)
		if n := sim.runCounts[token]; n > 1 && sequence%4 != 0 {
			found = append(found, fmt.Sprintf("request %s is not idempotent and ran %d times", token, n))
		}
		if sim.reportedNotRun[token] {
			found = append(found, fmt.Sprintf("request %s ran and was reported as not run", token))
		}
	}
	for token, runs := range sim.answers {
		for _, parts := range runs {
			total := 0
			for _, p := range parts {
				var name, run, of int
				_, _ = fmt.Sscan(strings.ReplaceAll(string(p.Payload), "/", " "), &name, &run, &of)
				if fmt.Sprint(name) != token || p.More != (int(p.Number) < of-1) || string(p.Payload) != string(parts[0].Payload) {
					found = append(found, fmt.Sprintf("request %s: part %d of answer %q arrived together with a part of %q", token, p.Number, p.Payload, parts[0].Payload))
				}
				total = of
			}
			if len(parts) > total {
				found = append(found, fmt.Sprintf("request %s: %d parts arrived of an answer with %d", token, len(parts), total))
			}
		}
	}
	slices.Sort(found)
	return found
}

// countAnswered counts the requests whose whole answer reached the caller.
func (sim *simulation) countAnswered() int {
	whole := 0
	for _, runs := range sim.answers {
		for _, parts := range runs {
			if strings.HasSuffix(string(parts[0].Payload), fmt.Sprintf("/%d", len(parts))) {
				whole++
				break
			}
		}
	}
	return whole
}
