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

// storm is what a cell goes through. Shares are percentages of messages.
type storm struct {
	Seed                        uint64
	Hosts, Domains, Requests    int
	Loss, Duplicate, Slow, Shed int
	// Copies bounds the transmissions of a request; Cancels is the share of those that withdraw it.
	Copies, Cancels int
	// Deaf hosts do not fetch a roster that a heartbeat announces.
	Deaf bool
	// Window is the time in which the requests begin.
	Window time.Duration
	Faults []fault
}

type faultKind int

const (
	kill faultKind = iota
	restart
	pause
	cutOneWay
	cutBothWays
	list
	// split and freeze cut off or pause hosts while the platform drops some of them from the roster.
	split
	freeze
	faultKinds
)

// fault strikes the hosts whose bits are set in Hosts. A new roster has all
// others, of which Late hear much later, and those in Leaving leave.
type fault struct {
	Kind                 faultKind
	At, For              time.Duration
	Hosts, Late, Leaving int
}

func (f fault) strikes(h *cellHost) bool { return f.Hosts>>h.index&1 == 1 }

func drawStorm(t *rapid.T) storm {
	// Sampling draws all values equally; ranges would favour small sets of hosts and short faults.
	below := func(label string, n int) int {
		values := make([]int, n)
		for i := range values {
			values[i] = i
		}
		return rapid.SampledFrom(values).Draw(t, label)
	}
	percent := func(label string, choices ...int) int { return rapid.SampledFrom(choices).Draw(t, label) }
	s := storm{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Hosts:     4 + below("hosts", 5),
		Domains:   1 + below("domains", 4),
		Requests:  10 + below("requests", 51),
		Loss:      percent("loss", 0, 2, 20),
		Duplicate: percent("duplicate", 0, 20, 60),
		Slow:      percent("slow", 0, 2, 20, 60),
		Deaf:      rapid.Bool().Draw(t, "deaf"),
		Shed:      percent("shed", 0, 30, 90),
		Copies:    2 + below("copies", 9),
		Cancels:   percent("cancels", 0, 3),
		Window:    rapid.SampledFrom([]time.Duration{2 * time.Second, 10 * time.Second, 35 * time.Second}).Draw(t, "window"),
	}
	for range below("faults", 8) {
		f := fault{Kind: faultKind(below("kind", int(faultKinds)))}
		f.At = time.Duration(below("at", int((s.Window+cellLifetime)/time.Second))) * time.Second
		f.For = time.Duration(below("for", 35)) * time.Second
		f.Hosts, f.Late, f.Leaving = below("struck", 1<<s.Hosts), below("late", 1<<s.Hosts), below("leaving", 1<<s.Hosts)
		s.Faults = append(s.Faults, f)
	}
	return s
}

// weather schedules the storm's requests and faults, and runs the cell to its end.
func (c *cell) weather() {
	for i := range c.storm.Requests {
		c.after(time.Second+time.Duration(c.random.Int64N(int64(c.storm.Window))), func() { c.transmit(uint64(i + 1)) })
	}
	for _, f := range c.storm.Faults {
		c.after(f.At, func() { c.strike(f) })
	}
	c.run(c.storm.Window + 3*cellLifetime)
}

// transmit has a request arrive at hosts that the fabric chooses; most copies come early.
func (c *cell) transmit(sequence uint64) {
	deadline := c.now.Add(cellLifetime - time.Second/2 - time.Duration(c.random.IntN(2000))*time.Millisecond)
	q := newRequest(sequence%5, sequence, deadline, sequence%4 == 0)
	for i := range 1 + c.random.IntN(c.storm.Copies) {
		copied := q
		copied.Cancelled = c.random.IntN(100) < c.storm.Cancels
		to := c.hosts[c.random.IntN(len(c.hosts))]
		delay := time.Duration(c.random.IntN(40)) * time.Millisecond
		if i > 0 && c.random.IntN(2) == 0 {
			delay = time.Duration(c.random.IntN(int(cellLifetime)))
		}
		c.after(delay, func() {
			c.at(to, func(now time.Time, actions *dataplane.RequestActions) { to.node.HandleRequest(now, copied, actions) })
		})
	}
}

func (c *cell) strike(f fault) {
	switch f.Kind {
	case list:
		c.list(f)
		return
	case split, freeze:
		c.list(fault{Hosts: f.Hosts & f.Leaving, Late: f.Hosts, For: f.For})
		f.Kind = map[faultKind]faultKind{split: cutBothWays, freeze: pause}[f.Kind]
	}
	for _, h := range c.hosts {
		for _, p := range c.hosts {
			if f.strikes(h) && !f.strikes(p) && f.Kind >= cutOneWay {
				c.blocked[[2]int{h.index, p.index}] = c.now.Add(f.For)
			}
			if f.strikes(h) && !f.strikes(p) && f.Kind == cutBothWays {
				c.blocked[[2]int{p.index, h.index}] = c.now.Add(f.For)
			}
		}
		switch {
		case !f.strikes(h):
		case f.Kind == kill || f.Kind == restart:
			h.dead = true
			if f.Kind == restart {
				c.after(f.For/20, func() { c.reboot(h) })
			}
		case f.Kind == pause:
			h.paused = c.now.Add(f.For)
		}
	}
}

func (c *cell) reboot(h *cellHost) {
	if !h.dead {
		return
	}
	current, previous := h.view.Roster, member.Roster{}
	if c.random.IntN(2) == 0 {
		previous = h.view.PreviousRoster
	}
	h.paused, h.started = c.now, c.now
	c.boot(h, current, previous)
}

// list has the platform publish a new roster, of which hosts hear unevenly.
func (c *cell) list(f fault) {
	next := member.Roster{Version: pimentospread.ObjectVersion(len(c.rosters) + 1)}
	for _, h := range c.hosts {
		state := member.Live
		if f.Leaving>>h.index&1 == 1 {
			state = member.Leaving
		}
		if !f.strikes(h) {
			next.Hosts = append(next.Hosts, member.Host{ID: h.id, FailureDomain: h.domain, State: state})
		}
	}
	if len(next.Hosts) < 3 {
		return
	}
	c.rosters = append(c.rosters, next)
	for _, h := range c.hosts {
		delay := time.Duration(c.random.IntN(1000)) * time.Millisecond
		if f.Late>>h.index&1 == 1 {
			delay += f.For
		}
		c.after(delay, func() { c.learn(h, next.Version) })
	}
}

// wrongs lists what callers and the targets' ledger say against the stated outcomes.
func (c *cell) wrongs() []string {
	var wrong []string
	for _, token := range slices.Sorted(maps.Keys(c.ran)) {
		var sequence int
		_, _ = fmt.Sscan(token, &sequence)
		if n := c.ran[token]; n > 1 && sequence%4 != 0 {
			wrong = append(wrong, fmt.Sprintf("request %s ran %d times", token, n))
		}
		if c.notRun[token] {
			wrong = append(wrong, fmt.Sprintf("request %s ran and was reported not run", token))
		}
	}
	for token, runs := range c.answers {
		for _, parts := range runs {
			total := 0
			for _, p := range parts {
				var name, run, of int
				_, _ = fmt.Sscan(strings.ReplaceAll(string(p.Payload), "/", " "), &name, &run, &of)
				if fmt.Sprint(name) != token || p.More != (int(p.Number) < of-1) || string(p.Payload) != string(parts[0].Payload) {
					wrong = append(wrong, fmt.Sprintf("request %s got part %d of %q with one of %q", token, p.Number, p.Payload, parts[0].Payload))
				}
				total = of
			}
			if len(parts) > total {
				wrong = append(wrong, fmt.Sprintf("request %s got %d parts of %d", token, len(parts), total))
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}

// served counts the requests whose whole answer reached the caller, by their tokens.
func (c *cell) served() int {
	whole := 0
	for _, runs := range c.answers {
		for _, parts := range runs {
			if strings.HasSuffix(string(parts[0].Payload), fmt.Sprintf("/%d", len(parts))) {
				whole++
				break
			}
		}
	}
	return whole
}
