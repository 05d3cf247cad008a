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
	// probeInterval leaves two heartbeats within the 3 s in which a draining target must be known.
	probeInterval = time.Second
	// probesToChange is the number of probes in a row that must agree before a target
	// changes between down and up. One lost probe says little.
	probesToChange = 2
	// reportRetention is how long the reports of a silent host or of a host that no longer
	// probes a target stay, so that its successor can probe before they end.
	reportRetention = member.DeadAfter + 5*time.Second
)

// probeState is what the probes of this host say of one target.
type probeState struct {
	// disagreements counts the last probes that disagreed with down.
	disagreements  int
	down, draining bool
	// lastAssigned is the last time at which this host was chosen to probe the target.
	lastAssigned time.Time
}

// health is the state of targets: the own probes, and what became of reports.
type health struct {
	probesScheduledAt time.Time
	probes            map[pimentospread.TargetID]*probeState
	down              []pimentospread.TargetID
	draining          []pimentospread.TargetID
	listVersion       uint64
	// reported are the targets that any host reported at the last look.
	reported map[pimentospread.TargetID]bool
	// avoided are those of them that every live peer has acknowledged once.
	avoided map[pimentospread.TargetID]bool
	// flags are targets that were reported, with the minute until which flows may be elsewhere.
	flags map[pimentospread.TargetID]int64
}

func newHealth(incarnation pimentospread.Incarnation) health {
	return health{
		probes: map[pimentospread.TargetID]*probeState{},
		// A later incarnation starts above all versions of the earlier one.
		listVersion: uint64(incarnation),
		reported:    map[pimentospread.TargetID]bool{},
		avoided:     map[pimentospread.TargetID]bool{},
		flags:       map[pimentospread.TargetID]int64{},
	}
}

// loadReport is the result of a probe in the form in which placement takes it.
func (e TargetProbed) loadReport() pimentospread.LoadReport {
	r := e.Report
	r.Target = e.Target
	r.Healthy = r.Healthy && e.Answered
	return r
}

// recordProbe takes the result of a probe.
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

// updateLists makes the lists of the heartbeat from the probes.
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

// scheduleProbes asks for probes of the targets for which this host is chosen.
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

// reporter is a host with its lists.
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

// acknowledged returns the versions of lists by which all deciders of this host go.
func (c *Cell) acknowledged(now time.Time) []member.Acknowledgement {
	var all []member.Acknowledgement
	for _, r := range c.reporters(now) {
		if v, ok := c.loads.loadedLists[r.id]; ok {
			all = append(all, member.Acknowledgement{Reporter: r.id, Version: v})
		}
	}
	return all
}

// acknowledgedByAll reports whether this host and every live peer go by the reporter's list.
func (c *Cell) acknowledgedByAll(now time.Time, r reporter) bool {
	if c.loads.loadedLists[r.id] < r.version {
		return false
	}
	for _, p := range c.members.Alive(now) {
		known := slices.ContainsFunc(p.Heartbeat.Acknowledged, func(k member.Acknowledgement) bool {
			return k.Reporter == r.id && k.Version >= r.version
		})
		if !known {
			return false
		}
	}
	return true
}

// targetConditions is what the view says of targets.
type targetConditions struct {
	flagged, avoided, draining map[pimentospread.TargetID]bool
	// lists are the versions of the reporters' lists that went into it.
	lists map[pimentospread.HostID]uint64
}

// assessTargets brings the state of targets up to date.
func (c *Cell) assessTargets(now time.Time, a *Actions) targetConditions {
	h := &c.health
	s := targetConditions{
		flagged:  map[pimentospread.TargetID]bool{},
		draining: map[pimentospread.TargetID]bool{},
		lists:    map[pimentospread.HostID]uint64{},
	}
	reported := map[pimentospread.TargetID]bool{}
	for _, r := range c.reporters(now) {
		s.lists[r.id] = r.version
		known := c.acknowledgedByAll(now, r)
		for _, t := range r.down {
			reported[t] = true
			h.markAvoided(t, known)
		}
		for _, t := range r.draining {
			reported[t], s.draining[t] = true, true
			h.markAvoided(t, known)
		}
	}
	h.retainFlags(now, reported, c.idleTimeout())
	for t := range reported {
		s.flagged[t] = true
	}
	for t := range h.flags {
		s.flagged[t] = true
	}
	s.avoided = c.limitAvoidance(maps.Clone(h.avoided), s.draining, a)
	return s
}

// markAvoided notes a target that everybody knows to be reported. It stays so when a
// host joins, which learns all lists before it is ready.
func (h *health) markAvoided(t pimentospread.TargetID, known bool) {
	if known {
		h.avoided[t] = true
	}
}

// retainFlags keeps the flags of targets whose reports have ended, because flows of
// their buckets that began meanwhile are elsewhere until they end.
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

// limitAvoidance takes back the avoidance of a pool's targets when none would be left:
// then it is more likely that the probes fail than that all targets do.
func (c *Cell) limitAvoidance(avoided, draining map[pimentospread.TargetID]bool, a *Actions) map[pimentospread.TargetID]bool {
	if len(avoided) == 0 || c.release.held == nil {
		return avoided
	}
	for _, p := range c.release.held.Release.Set.TargetPools {
		left := slices.ContainsFunc(p.Targets, func(t pool.Target) bool { return !avoided[t.ID] && t.State != pool.Draining })
		if left {
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

// idleTimeout is the longest time that a flow may be silent under any policy.
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

// sortedFlags returns the flags, sorted.
func (h *health) sortedFlags() []Flag {
	var all []Flag
	for t, until := range h.flags {
		all = append(all, Flag{Target: t, Until: until})
	}
	slices.SortFunc(all, func(a, b Flag) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// mergeFlags takes the flags of a peer.
func (h *health) mergeFlags(flags []Flag) {
	for _, f := range flags {
		h.flags[f.Target] = max(h.flags[f.Target], f.Until)
	}
}

// digest covers the held release and the flags.
func (c *Cell) digest() uint64 {
	b := binary.BigEndian.AppendUint64(nil, c.release.held.digest())
	for _, f := range c.health.sortedFlags() {
		b = binary.BigEndian.AppendUint32(b, uint32(f.Target))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Until))
	}
	return xxhash.Sum64(b)
}
