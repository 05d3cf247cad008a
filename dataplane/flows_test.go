package dataplane

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/pool"
)

func newFlows() steerer { return NewFlowShard(FlowShardConfig{ShardCount: 1}) }

// perform does one change to a cell, if it is possible.
func (c *cell) perform(what string, n int) {
	pools := c.pools()
	p := &pools[n%2]
	i := n / 2 % len(p.Targets)
	h := c.hosts[n%len(c.hosts)]
	up := 0
	for _, o := range c.hosts {
		if o.up && !o.leaving {
			up++
		}
	}
	switch what {
	case "target joins":
		p.Targets = append(p.Targets, c.target())
		c.change(pools)
	case "target drains":
		p.Targets[i].State = pool.Draining
		if byState(*p, pool.Active) > 0 {
			c.change(pools)
		}
	case "target returns":
		p.Targets[i].State = pool.Active
		c.change(pools)
	case "target removed":
		if p.Targets[i].State == pool.Draining {
			p.Targets = append(p.Targets[:i], p.Targets[i+1:]...)
			c.change(pools)
		}
	case "target flagged":
		c.flag(map[pimentospread.TargetID]bool{p.Targets[i].ID: true})
	case "target not flagged":
		c.flag(map[pimentospread.TargetID]bool{})
	case "nothing published":
		c.change(pools)
	case "host joins":
		c.start(c.join())
	case "host leaves":
		if h.up && !h.leaving && up > 4 {
			c.leave(h)
		}
	case "host pauses":
		if h.up && !h.leaving {
			c.pause(h, time.Duration(n%5000)*time.Millisecond)
		}
	case "host dies":
		if h.up {
			c.die(h)
		}
	}
}

func byState(p pool.Pool, s pool.State) int {
	n := 0
	for _, t := range p.Targets {
		if t.State == s {
			n++
		}
	}
	return n
}

// calm lets a cell with open calls come to rest before the first change.
func calm(seed uint64, newHost func() steerer) *cell {
	c := newCell(seed, 7, newHost)
	c.run(1500 * time.Millisecond)
	c.dialMany(60)
	c.run(2 * time.Second)
	return c
}

func (c *cell) dialMany(n int) {
	for i := range n {
		c.at(c.delay(time.Second), nil, func() { c.dial(pimentospread.ServiceID(1 + i%2)) })
	}
}

// Guards against flows that a planned change of targets or hosts breaks, and
// against packets that reach another service, however the changes overlap.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	changes := []string{
		"target joins", "target drains", "target drains", "target returns", "target removed", "target flagged",
		"target not flagged", "nothing published", "host joins", "host leaves", "host pauses",
	}
	rapid.Check(t, func(t *rapid.T) {
		c := calm(rapid.Uint64().Draw(t, "seed"), newFlows)
		for range rapid.IntRange(2, 8).Draw(t, "changes") {
			c.perform(rapid.SampledFrom(changes).Draw(t, "change"), rapid.IntRange(0, 9999).Draw(t, "which"))
			c.dialMany(20)
			c.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		got := c.outcome()
		if diff := cmp.Diff(outcome{Established: got.Established}, got); diff != "" || got.Established < 60 {
			t.Fatalf("outcome (-want +got):\n%s", diff)
		}
	})
}

// Guards against flows that the death of one host breaks, also while a target drains and a host joins.
func TestOneDeathBreaksNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := calm(rapid.Uint64().Draw(t, "seed"), newFlows)
		before := rapid.SampledFrom([]string{"nothing published", "host joins", "target joins", "target flagged"}).Draw(t, "before")
		c.perform(before, rapid.IntRange(0, 9999).Draw(t, "which"))
		c.perform("target drains", rapid.IntRange(0, 9999).Draw(t, "target"))
		c.dialMany(60)
		c.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "milliseconds")) * time.Millisecond)
		c.perform("host dies", rapid.IntRange(0, 6).Draw(t, "host"))
		c.dialMany(20)
		c.run(3 * time.Second)
		got := c.outcome()
		if diff := cmp.Diff(outcome{Established: got.Established}, got); diff != "" {
			t.Fatalf("outcome (-want +got):\n%s", diff)
		}
	})
}

// Guards against two deaths at once that break more than the flows which no
// live host knows, and shows that steering without records breaks flows.
func TestTwoDeathsAndBaselines(t *testing.T) {
	lost, broken, plain := 0, 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		seed, target, host := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 9999).Draw(t, "target"), rapid.IntRange(0, 6).Draw(t, "host")
		play := func(newHost func() steerer) (*cell, int) {
			c := calm(seed, newHost)
			c.perform("target drains", target)
			c.dialMany(60)
			c.run(4 * time.Second)
			c.die(c.hosts[host])
			c.die(c.hosts[(host+1)%7])
			unknown := 0
			for _, k := range c.calls {
				if k.established && !c.known(k) {
					unknown++
				}
			}
			c.run(3 * time.Second)
			return c, unknown
		}
		c, unknown := play(newFlows)
		got := c.outcome()
		lost, broken = lost+unknown, broken+got.Broken+got.Stuck
		if got.Broken+got.Stuck > unknown || got.Foreign > 0 {
			t.Fatalf("outcome %+v, but only %d flows are unknown to the live hosts", got, unknown)
		}
		for name, choose := range map[string]func(*ServiceView, pimentospread.FlowID) pimentospread.TargetID{"modulo": byModulo, "consistent hash": byConsistentHash} {
			c, _ := play(func() steerer { return &baseline{choose: choose} })
			plain[name] += c.outcome().Broken
		}
	})
	t.Logf("flows broken by a drain and two deaths: %d of %d that no live host knew; baselines: %v", broken, lost, plain)
	if plain["modulo"] == 0 || plain["consistent hash"] == 0 {
		t.Errorf("baselines broke no flow: %v; the scenario proves nothing", plain)
	}
}

// known reports whether a live host knows the flow of a call, or the table gives it to its target.
func (c *cell) known(k *call) bool {
	id := k.packet.ID
	if c.newest().Services[k.packet.Service].Table.Lookup(id).Default == k.target {
		return true
	}
	for _, h := range c.hosts {
		f, ok := h.steer.(*FlowShard)
		if h.up && ok && f.records.Get(id) != nil {
			return true
		}
	}
	return false
}
