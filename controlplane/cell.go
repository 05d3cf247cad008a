// Package controlplane maintains a host's state of its cell: the members, the
// release in force and the health of targets. From it the package builds the view
// that the data-plane workers use. Cell makes the decisions without any I/O;
// Controller runs it and performs the I/O.
package controlplane

import (
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
)

// Intervals for spreading releases and rosters between hosts.
const (
	// pauseThreshold is the time without a tick after which peers may have declared this host dead.
	pauseThreshold = member.DeadAfter
	// queryInterval is the minimum time between two queries. It keeps the hosts that are
	// behind after a partition from flooding the others.
	queryInterval = time.Second
	// announceInterval is the time between two announcements to peers that send no heartbeats.
	announceInterval = 5 * time.Second
	// digestQueryInterval is the minimum time after a query before a digest mismatch alone causes another.
	digestQueryInterval = 5 * time.Second
	// platformReadInterval is the retry interval of a starting host whose platform read failed.
	platformReadInterval = 2 * time.Second
)

// Config holds the settings of a host's cell state.
type Config struct {
	Self        member.Host
	Incarnation pimentospread.Incarnation
	// Seeds are the hosts to contact when the platform does not answer.
	Seeds []member.Host
	// Workers is the number of data-plane workers that load views.
	Workers int
}

// Cell is the aggregate of a host's control state. It is a state machine without
// I/O or clock: Handle receives an event with the time and returns actions.
type Cell struct {
	config   Config
	members  *member.Members
	sequence uint64
	lastTick time.Time
	watching bool
	// revision is the revision of the peer set in the last Actions.Peers.
	revision uint64
	release  releaseState
	start    startup
	repair   repair
	health   health
	loads    loadTracker
	view     *dataplane.View
	leaving  bool
}

// startup tracks the progress of a starting host.
type startup struct {
	// platformReadAt is the time of the last platform read. platformAnswered is set once
	// any read succeeded, platformFailed when the last one failed.
	platformReadAt                   time.Time
	platformAnswered, platformFailed bool
	// peerReplied is set once a peer has answered a query.
	peerReplied bool
	// joined is set once the host is ready and stays set.
	joined bool
}

// NewCell returns the cell state of a starting host.
func NewCell(now time.Time, c Config) *Cell {
	return &Cell{
		config:  c,
		members: member.NewMembers(now, c.Self, c.Seeds),
		health:  newHealth(c.Incarnation),
		loads:   newLoadTracker(c.Workers),
	}
}

// Handle applies an event and returns the actions to carry out.
func (c *Cell) Handle(now time.Time, e Event) Actions {
	var a Actions
	c.recordPause(now, &a)
	switch e := e.(type) {
	case HeartbeatReceived:
		c.members.HandleHeartbeat(now, e.From, e.Incarnation, e.Heartbeat)
		c.queryPeers(now, &a)
	case QueryReceived:
		c.handleQuery(now, e, &a)
	case ReplyReceived:
		c.handleReply(now, e, &a)
	case ReleaseRead:
		c.handleReleaseRead(e, &a)
	case RosterRead:
		c.members.OfferRoster(now, e.Roster, member.Roster{}, 0)
	case PlatformReadDone:
		c.start.platformAnswered = c.start.platformAnswered || e.Answered
		c.start.platformFailed = !e.Answered
	case TablesBuilt:
		c.handleTablesBuilt(e, &a)
	case ViewLoaded:
		c.loads.viewLoaded(e)
	case TargetProbed:
		c.health.recordProbe(e)
		a.Reports = append(a.Reports, e.loadReport())
	case Tick:
		c.tick(now, &a)
	case Leave:
		c.leaving = true
	}
	c.applyTransitions(now, &a)
	return a
}

// Ready reports whether the host accepts new work.
func (c *Cell) Ready() bool { return c.start.joined && !c.leaving }

// ActiveGeneration returns the generation that routes new flows on this host.
func (c *Cell) ActiveGeneration() pimentospread.Generation { return c.release.active }

// PreparedGeneration returns the newest generation that all data-plane workers of the host have prepared.
func (c *Cell) PreparedGeneration() pimentospread.Generation { return c.release.prepared }

// HeldGeneration returns the newest generation whose release the host has received.
func (c *Cell) HeldGeneration() pimentospread.Generation { return c.release.held.generation() }

// RosterVersion returns the version of the roster in force.
func (c *Cell) RosterVersion() pimentospread.ObjectVersion {
	r, _, _ := c.members.Roster()
	return r.Version
}

// recordPause runs before an event is handled. If the last tick was at least
// pauseThreshold ago, the process was paused: the members record the pause, so that
// no decision uses outdated liveness.
func (c *Cell) recordPause(now time.Time, a *Actions) {
	if c.lastTick.IsZero() || now.Sub(c.lastTick) < pauseThreshold {
		return
	}
	c.members.RecordPause(now, c.lastTick)
	c.lastTick = now
	a.Anomalies = append(a.Anomalies, AnomalyPaused)
}

func (c *Cell) tick(now time.Time, a *Actions) {
	c.lastTick = now
	c.members.Expire(now)
	c.readPlatform(now, a)
	c.updateWatch(now, a)
	c.scheduleProbes(now, a)
	c.announce(now, a)
	c.queryPeers(now, a)
	c.sendHeartbeats(now, a)
}

// readPlatform requests platform reads until one has succeeded or the host has become ready without it.
func (c *Cell) readPlatform(now time.Time, a *Actions) {
	first := c.start.platformReadAt.IsZero()
	again := c.start.platformFailed && now.Sub(c.start.platformReadAt) >= platformReadInterval
	if c.start.platformAnswered || c.start.joined || !first && !again {
		return
	}
	c.start.platformReadAt = now
	a.ReadPlatform = true
}

// updateWatch starts or stops the platform watch when this host becomes or stops
// being a relay. A host with incomplete liveness information does not watch.
func (c *Cell) updateWatch(now time.Time, a *Actions) {
	on := c.members.LivenessKnown(now) && (!c.leaving && c.members.IsRelay(now) || c.leaving && c.members.IsRelayWhileLeaving(now))
	if on == c.watching {
		return
	}
	c.watching = on
	a.Watch = &WatchChange{On: on}
}

// sendHeartbeats sends a heartbeat to every known peer.
func (c *Cell) sendHeartbeats(now time.Time, a *Actions) {
	c.sequence++
	h := &member.Heartbeat{
		Sequence:      c.sequence,
		Held:          c.release.held.generation(),
		Prepared:      c.release.prepared,
		Active:        c.release.active,
		Digest:        c.digest(),
		RosterVersion: c.RosterVersion(),
		Ready:         c.Ready(),
		Leaving:       c.leaving,
		Down:          c.health.down,
		Draining:      c.health.draining,
		ListVersion:   c.health.listVersion,
		Acknowledged:  c.acknowledged(now),
	}
	for _, p := range c.members.Peers() {
		a.Messages = append(a.Messages, pimentospread.Outbound{To: p.Host.ID, Message: h})
	}
}

// applyTransitions updates the peer set, the active generation, readiness and the
// view after an event has changed the state.
func (c *Cell) applyTransitions(now time.Time, a *Actions) {
	c.updatePeers(a)
	c.activate(now)
	c.completeJoin(now)
	c.publishView(now, a)
	// The workers may have prepared the generation before the view was published;
	// the new view then makes it active at once.
	if c.activate(now) {
		c.completeJoin(now)
		c.publishView(now, a)
	}
}

// completeJoin marks the host as joined when it has the newest release of the
// platform and of all live peers.
func (c *Cell) completeJoin(now time.Time) {
	if c.start.joined || c.release.active == 0 || !c.members.LivenessKnown(now) {
		return
	}
	alive := c.members.Alive(now)
	if !c.start.platformAnswered && (!c.start.platformFailed || len(alive) == 0) {
		return
	}
	if len(alive) > 0 && !c.start.peerReplied {
		return
	}
	for _, p := range alive {
		if p.Heartbeat.Held > c.release.active {
			return
		}
	}
	c.start.joined = c.release.active == c.release.held.generation()
}

// updatePeers returns the peer addresses in the actions when the peer set has changed.
func (c *Cell) updatePeers(a *Actions) {
	if r := c.members.Revision(); r != c.revision {
		c.revision = r
		a.Peers = c.members.Addresses()
	}
}
