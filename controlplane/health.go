package controlplane

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/policy"
	"pimentospread/pool"
)

const (
	// probeInterval leaves time for two heartbeats within the 3 s in which all hosts must know
	// that a target drains.
	probeInterval = time.Second
	// probesToChange is the number of consecutive probes that must agree before a target
	// changes between down and up, so that one lost probe has no effect.
	probesToChange = 2
	// reportRetention is how long the reports of a host that sends no heartbeats, or that no
	// longer probes a target, stay valid. It gives the next prober time to probe before they expire.
	reportRetention = member.DeadAfter + 5*time.Second
)

// probeState is the result of this host's probes of one target.
type probeState struct {
	// disagreements counts the latest consecutive probes that contradict down.
	disagreements  int
	down, draining bool
	// lastAssigned is the last time at which this host was selected to probe the target.
	lastAssigned time.Time
}

// health is the health state of targets: the probes of this host, and the reports
// of all hosts.
type health struct {
	probesScheduledAt time.Time
	probes            map[pimentospread.TargetID]*probeState
	down              []pimentospread.TargetID
	draining          []pimentospread.TargetID
	listVersion       uint64
	// reported are the targets that any host reported at the last assessment.
	reported map[pimentospread.TargetID]bool
	// avoided are the reported targets that all live peers have acknowledged once.
	avoided map[pimentospread.TargetID]bool
	// flags maps targets that were reported down or draining to the minute until which
	// their flows may still be on other targets.
	flags map[pimentospread.TargetID]int64
}

func newHealth(incarnation pimentospread.Incarnation) health {
	return health{
		probes: map[pimentospread.TargetID]*probeState{},
		// A later incarnation is larger than every list version of an earlier one, so
		// versions also increase across restarts.
		listVersion: uint64(incarnation),
		reported:    map[pimentospread.TargetID]bool{},
		avoided:     map[pimentospread.TargetID]bool{},
		flags:       map[pimentospread.TargetID]int64{},
	}
}

// loadReport returns the probe result in the form that request placement uses.
func (e TargetProbed) loadReport() pimentospread.LoadReport {
	r := e.Report
	r.Target = e.Target
	r.Healthy = r.Healthy && e.Answered
	return r
}

// recordProbe updates the state of a target with a probe result.
func (h *health) recordProbe(e TargetProbed) {
	p, ok := h.probes[e.Target]
	if !ok {
		return
	}
	up := e.Answered && e.Report.Healthy
	if up == p.down {
		p.disagreements++
	} else {
		p.disagreements = 0
	}
	if p.disagreements >= probesToChange {
		p.down, p.disagreements = !up, 0
	}
	if e.Answered {
		p.draining = e.Report.Draining
	}
	h.updateLists()
}

// updateLists computes the heartbeat's target lists from the probe states and
// raises the list version when they change.
func (h *health) updateLists() {
	var down, draining []pimentospread.TargetID
	for id, p := range h.probes {
		if p.down {
			down = append(down, id)
		}
		if p.draining {
			draining = append(draining, id)
		}
	}
	slices.Sort(down)
	slices.Sort(draining)
	if slices.Equal(down, h.down) && slices.Equal(draining, h.draining) {
		return
	}
	h.down, h.draining = down, draining
	h.listVersion++
}

// scheduleProbes requests probes of the targets that are assigned to this host.
func (c *Cell) scheduleProbes(now time.Time, a *Actions) {
	h := &c.health
	if !h.probesScheduledAt.IsZero() && now.Sub(h.probesScheduledAt) < probeInterval || !c.members.LivenessKnown(now) {
		return
	}
	h.probesScheduledAt = now
	targets := c.targets()
	for _, id := range c.members.TargetsToProbe(now, slices.Sorted(maps.Keys(targets))) {
		p, ok := h.probes[id]
		if !ok {
			p = &probeState{}
			h.probes[id] = p
		}
		p.lastAssigned = now
		a.Probes = append(a.Probes, targets[id])
	}
	maps.DeleteFunc(h.probes, func(id pimentospread.TargetID, p *probeState) bool {
		_, exists := targets[id]
		return !exists || now.Sub(p.lastAssigned) >= reportRetention
	})
	h.updateLists()
}

// targets returns all targets of the held release.
func (c *Cell) targets() map[pimentospread.TargetID]pool.Target {
	all := map[pimentospread.TargetID]pool.Target{}
	if c.release.held == nil {
		return all
	}
	for _, p := range c.release.held.Release.Set.TargetPools {
		for _, t := range p.Targets {
			all[t.ID] = t
		}
	}
	return all
}

// reporter is a host with the lists of targets that it reports down or draining.
type reporter struct {
	id       pimentospread.HostID
	version  uint64
	down     []pimentospread.TargetID
	draining []pimentospread.TargetID
}

// reporters returns the hosts, this one included, whose lists are not empty.
func (c *Cell) reporters(now time.Time) []reporter {
	var all []reporter
	if h := &c.health; len(h.down)+len(h.draining) > 0 {
		all = append(all, reporter{c.config.Self.ID, h.listVersion, h.down, h.draining})
	}
	for _, p := range c.members.Peers() {
		h := &p.Heartbeat
		if len(h.Down)+len(h.Draining) == 0 || now.Sub(p.LastHeartbeatAt) >= reportRetention {
			continue
		}
		all = append(all, reporter{p.Host.ID, h.ListVersion, h.Down, h.Draining})
	}
	return all
}

// acknowledged returns the list versions that all data-plane workers of this host use.
func (c *Cell) acknowledged(now time.Time) []member.Acknowledgement {
	var all []member.Acknowledgement
	for _, r := range c.reporters(now) {
		if v, ok := c.loads.loadedLists[r.id]; ok {
			all = append(all, member.Acknowledgement{Reporter: r.id, Version: v})
		}
	}
	return all
}

// acknowledgedByAll reports whether this host and all live peers use the reporter's list.
func (c *Cell) acknowledgedByAll(now time.Time, r reporter) bool {
	if c.loads.loadedLists[r.id] < r.version {
		return false
	}
	for _, p := range c.members.Alive(now) {
		acknowledged := slices.ContainsFunc(p.Heartbeat.Acknowledged, func(ack member.Acknowledgement) bool {
			return ack.Reporter == r.id && ack.Version >= r.version
		})
		if !acknowledged {
			return false
		}
	}
	return true
}

// targetConditions is the part of the view that concerns the health of targets.
type targetConditions struct {
	flagged, avoided, draining map[pimentospread.TargetID]bool
	// lists are the versions of the reporters' lists that it is based on.
	lists map[pimentospread.HostID]uint64
}

// assessTargets updates the health state of targets and returns it for the view.
func (c *Cell) assessTargets(now time.Time, a *Actions) targetConditions {
	h := &c.health
	conditions := targetConditions{
		flagged:  map[pimentospread.TargetID]bool{},
		draining: map[pimentospread.TargetID]bool{},
		lists:    map[pimentospread.HostID]uint64{},
	}
	reported := map[pimentospread.TargetID]bool{}
	for _, r := range c.reporters(now) {
		conditions.lists[r.id] = r.version
		acknowledged := c.acknowledgedByAll(now, r)
		for _, t := range r.down {
			reported[t] = true
			h.markAvoided(t, acknowledged)
		}
		for _, t := range r.draining {
			reported[t], conditions.draining[t] = true, true
			h.markAvoided(t, acknowledged)
		}
	}
	h.retainFlags(now, reported, c.idleTimeout())
	for t := range reported {
		conditions.flagged[t] = true
	}
	for t := range h.flags {
		conditions.flagged[t] = true
	}
	conditions.avoided = c.limitAvoidance(maps.Clone(h.avoided), conditions.draining, a)
	return conditions
}

// markAvoided marks a target as avoided once all hosts have acknowledged its
// report. The mark stays when a host joins, because a joining host receives all
// lists before it is ready.
func (h *health) markAvoided(t pimentospread.TargetID, acknowledged bool) {
	if acknowledged {
		h.avoided[t] = true
	}
}

// retainFlags keeps targets flagged after their reports have ended: flows of their
// buckets that started in the meantime stay on other targets until they end.
func (h *health) retainFlags(now time.Time, reported map[pimentospread.TargetID]bool, idle time.Duration) {
	until := now.Add(idle).Unix()/60 + 1
	for t := range h.reported {
		if !reported[t] {
			h.flags[t] = max(h.flags[t], until)
			delete(h.avoided, t)
		}
	}
	h.reported = reported
	minute := now.Unix() / 60
	maps.DeleteFunc(h.flags, func(_ pimentospread.TargetID, until int64) bool { return until <= minute })
}

// limitAvoidance stops avoiding the targets of a pool when no target would be
// left: a failure of the probes is then more likely than a failure of all targets.
// Targets that reported themselves draining stay avoided.
func (c *Cell) limitAvoidance(avoided, draining map[pimentospread.TargetID]bool, a *Actions) map[pimentospread.TargetID]bool {
	if len(avoided) == 0 || c.release.held == nil {
		return avoided
	}
	for _, p := range c.release.held.Release.Set.TargetPools {
		available := slices.ContainsFunc(p.Targets, func(t pool.Target) bool { return !avoided[t.ID] && t.State != pool.Draining })
		if available {
			continue
		}
		a.Anomalies = append(a.Anomalies, AnomalyAllDown)
		for _, t := range p.Targets {
			if !draining[t.ID] {
				delete(avoided, t.ID)
			}
		}
	}
	return avoided
}

// idleTimeout returns the longest idle timeout of all policies.
func (c *Cell) idleTimeout() time.Duration {
	longest := policy.Defaults().IdleTimeout.Duration
	if c.release.held == nil {
		return longest
	}
	for _, p := range c.release.held.Release.Set.Policies {
		longest = max(longest, p.IdleTimeout.Duration)
	}
	return longest
}

// sortedFlags returns the flags in order of target.
func (h *health) sortedFlags() []Flag {
	var all []Flag
	for t, until := range h.flags {
		all = append(all, Flag{Target: t, Until: until})
	}
	slices.SortFunc(all, func(a, b Flag) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// mergeFlags merges the flags of a peer; the later end of a flag wins.
func (h *health) mergeFlags(flags []Flag) {
	for _, f := range flags {
		h.flags[f.Target] = max(h.flags[f.Target], f.Until)
	}
}

// digest returns a hash of the held release and the flags.
func (c *Cell) digest() uint64 {
	b := binary.BigEndian.AppendUint64(nil, c.release.held.digest())
	for _, f := range c.health.sortedFlags() {
		b = binary.BigEndian.AppendUint32(b, uint32(f.Target))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Until))
	}
	return xxhash.Sum64(b)
}
