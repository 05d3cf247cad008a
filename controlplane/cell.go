// Package controlplane owns what a host knows of its cell: the members, the release
// in force and the health of targets. It makes the view by which the deciders
// act. Cell decides and does no input or output; Controller is the duty around it.
package controlplane

import (
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/member"
)

// Times of the dissemination.
const (
	// pauseThreshold is the time without a tick after which peers may have gone on without this host.
	pauseThreshold = member.DeadAfter
	// queryInterval is the shortest time between two queries, so that many hosts
	// that are behind after a partition do not flood those that are not.
	queryInterval = time.Second
	// announceInterval is the time between two announcements to peers that are silent.
	announceInterval = 5 * time.Second
	// digestQueryInterval is the shortest time between two queries because of flags that differ.
	digestQueryInterval = 5 * time.Second
	// platformReadInterval is the time between two readings of a platform that did not answer a starting host.
	platformReadInterval = 2 * time.Second
)

// Config is what a host knows of itself at its start.
type Config struct {
	Self        member.Host
	Incarnation pimentospread.Incarnation
	// Seeds are hosts that are asked when the platform does not answer.
	Seeds []member.Host
	// Workers is the number of duties that load views.
	Workers int
}

// Cell is the aggregate of the control state of a host. Events go in, actions
// come out; the time is an argument.
type Cell struct {
	config   Config
	members  *member.Members
	sequence uint64
	lastTick time.Time
	watching bool
	// revision is that of the set of peers that was handed out last.
	revision uint64
	release  releaseState
	start    startup
	repair   repair
	health   health
	loads    loadTracker
	view     *dataplane.View
	leaving  bool
}

// startup is how far a starting host has come.
type startup struct {
	// platformReadAt is the time of the last reading of the platform, which has answered or failed since.
	platformReadAt                   time.Time
	platformAnswered, platformFailed bool
	// peerReplied says that a peer has answered a query.
	peerReplied bool
	// joined stays true once the host was ready.
	joined bool
}

// NewCell returns the cell as a host knows it at its start.
func NewCell(now time.Time, c Config) *Cell {
	return &Cell{
		config:  c,
		members: member.NewMembers(now, c.Self, c.Seeds),
		health:  newHealth(c.Incarnation),
		loads:   newLoadTracker(c.Workers),
	}
}

// Handle takes an event and returns what is to be done.
func (c *Cell) Handle(now time.Time, e Event) Actions {
	var a Actions
	c.detectPause(now, &a)
	switch e := e.(type) {
	case HeartbeatReceived:
		c.members.HandleHeartbeat(now, e.From, e.Incarnation, e.Heartbeat)
		c.queryPeers(now, &a)
	case QueryReceived:
		c.handleQuery(now, e, &a)
	case ReplyReceived:
		c.handleReply(now, e, &a)
	case ReleaseRead:
		c.acceptRelease(e.Content, &a)
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

// Ready reports whether the host takes new work.
func (c *Cell) Ready() bool { return c.start.joined && !c.leaving }

// ActiveGeneration returns the generation by which the host sends new flows.
func (c *Cell) ActiveGeneration() pimentospread.Generation { return c.release.active }

// PreparedGeneration returns the newest generation that every decider of the host has prepared.
func (c *Cell) PreparedGeneration() pimentospread.Generation { return c.release.prepared }

// HeldGeneration returns the newest generation that the host has.
func (c *Cell) HeldGeneration() pimentospread.Generation { return c.release.held.generation() }

// RosterVersion returns the version of the roster in force.
func (c *Cell) RosterVersion() pimentospread.ObjectVersion {
	r, _, _ := c.members.Roster()
	return r.Version
}

// detectPause finds out that the host did not run for a while, before anything is decided with an old state.
func (c *Cell) detectPause(now time.Time, a *Actions) {
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

// readPlatform reads the platform until it has answered once or the host is ready without it.
func (c *Cell) readPlatform(now time.Time, a *Actions) {
	first := c.start.platformReadAt.IsZero()
	again := c.start.platformFailed && now.Sub(c.start.platformReadAt) >= platformReadInterval
	if c.start.platformAnswered || c.start.joined || !first && !again {
		return
	}
	c.start.platformReadAt = now
	a.ReadPlatform = true
}

// updateWatch follows the choice of relays. A host that does not know yet who is alive does not updateWatch.
func (c *Cell) updateWatch(now time.Time, a *Actions) {
	on := !c.leaving && c.members.LivenessKnown(now) && c.members.IsRelay(now)
	if on == c.watching {
		return
	}
	c.watching = on
	a.Watch = &WatchChange{On: on}
}

// sendHeartbeats sends the heartbeat to every known peer.
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

// applyTransitions does what the new state allows.
func (c *Cell) applyTransitions(now time.Time, a *Actions) {
	c.updatePeers(a)
	c.activate(now)
	c.completeJoin(now)
	c.publishView(now, a)
	// When every decider has prepared the generation before its view came, the view counts at once.
	if c.activate(now) {
		c.completeJoin(now)
		c.publishView(now, a)
	}
}

// completeJoin makes the host ready when it has what its peers and the platform have.
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

// updatePeers hands out the set of peers when it has changed.
func (c *Cell) updatePeers(a *Actions) {
	if r := c.members.Revision(); r != c.revision {
		c.revision = r
		a.Peers = c.members.Addresses()
	}
}
