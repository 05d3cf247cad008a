package dissemination

import (
	"slices"
	"time"

	"pimentospread"
)

// SelectorConfig sets the timing of a selector.
type SelectorConfig struct {
	// Self is this host.
	Self pimentospread.HostID
	// FailureDomain is the failure domain of this host.
	FailureDomain pimentospread.FailureDomain
	// FanOut is the number of hosts of a failure domain that prefer the same source.
	FanOut int
	// SettleTime is the time after the start for which the host reads the platform
	// until it knows the other hosts.
	SettleTime time.Duration
	// SilenceTimeout is the time without messages after which a source counts as lost, and
	// AnswerTimeout that for a new source, which answers a subscription at once.
	SilenceTimeout, AnswerTimeout time.Duration
	// RelayMaxAge is the age of the state at which the relay of a failure domain reads
	// the platform itself, and FollowerMaxAge that for the other hosts. RelayMaxAge is shorter,
	// so that in most cases the other hosts need not read it.
	RelayMaxAge, FollowerMaxAge time.Duration
	// RetrySpread is the time per host of a group over which the hosts spread their
	// attempts to read the platform. The rate of calls is then independent of the size
	// of the group.
	RetrySpread time.Duration
	// ReadDuration is how long a host goes on reading the platform on average after it began
	// because its state was stale. Two such hosts that stopped as soon as each of them got
	// the state of the other would leave nobody who reads.
	ReadDuration time.Duration
	// MinAvoidance is how long a lost source is not chosen again. The time doubles up to
	// MaxAvoidance while the source stays lost.
	MinAvoidance, MaxAvoidance time.Duration
}

// Sources are where a host gets changes from. Both may be set during a switch.
type Sources struct {
	// Platform is set if the host reads the platform itself.
	Platform bool
	// Peer is the host to get changes from. Empty means none.
	Peer pimentospread.HostID
}

// Selector decides where a host gets changes from: the first host of the Tree of all hosts
// reads the platform, and the others prefer their sources in that tree. A source that
// sends no messages is replaced by the next one, and finally by the platform. A source
// that sends messages but has no fresh state itself is kept. Its followers then try to
// read the platform at different times, and one that succeeds becomes the source of its
// source, which offers its state further up.
type Selector struct {
	config  SelectorConfig
	started time.Time
	// preferred holds the preferred sources in order. It is empty for the host that
	// reads the platform.
	preferred []pimentospread.HostID
	// watched holds the hosts whose loss this host detects.
	watched []pimentospread.HostID
	// others holds the hosts to try if neither the preferred ones nor the platform answer.
	others []pimentospread.HostID
	// relay is set if this host is the relay of its failure domain.
	relay bool
	// group is the number of hosts that may retry the platform at the same time.
	group int
	// avoidedUntil holds when a source may be chosen again.
	avoidedUntil map[pimentospread.HostID]time.Time
	// avoidance holds for how long a source was last avoided.
	avoidance map[pimentospread.HostID]time.Duration
	// alive holds when hosts other than the chosen one last sent a message.
	alive map[pimentospread.HostID]time.Time
	// offered is a follower whose state is fresher than that of this host.
	offered pimentospread.HostID
	// sources are the chosen sources.
	sources Sources
	// confirmed is when the state was last known to be up to date, and direct when the
	// platform itself last confirmed that.
	confirmed, direct time.Time
	// chosen is when the peer was chosen, received when it last sent a message, and
	// fresh when it last sent a state that is not stale.
	chosen, received, fresh time.Time
	// retrying is set while the platform is read because the state is stale.
	retrying bool
	// retryAt is when to read the platform next, and readUntil how long to go on.
	retryAt, readUntil time.Time
}

// NewSelector returns a selector that starts with reading the platform.
func NewSelector(now time.Time, c SelectorConfig) *Selector {
	return &Selector{
		config: c, started: now, confirmed: now, direct: now, chosen: now,
		sources: Sources{Platform: true}, retrying: true,
		avoidedUntil: map[pimentospread.HostID]time.Time{},
		avoidance:    map[pimentospread.HostID]time.Duration{},
		alive:        map[pimentospread.HostID]time.Time{},
	}
}

// SetPeers sets the hosts of the system and arranges them in a tree.
func (s *Selector) SetPeers(peers []Peer) {
	self, domain := s.config.Self, s.config.FailureDomain
	tree := NewTree(peers, s.config.FanOut)
	s.relay, s.group = tree.IsRelay(self), tree.Group(self, domain)
	s.preferred, s.watched = tree.Sources(self, domain), tree.Watched(self)
	s.others = slices.DeleteFunc(slices.Clone(tree.Ranked()), func(id pimentospread.HostID) bool {
		return id == self || slices.Contains(s.preferred, id)
	})
}

// Watched returns the hosts whose loss this host detects.
func (s *Selector) Watched() []pimentospread.HostID { return s.watched }

// IsRelay reports whether this host is the preferred source of its failure domain.
func (s *Selector) IsRelay() bool { return s.relay }

// Sources returns the chosen sources.
func (s *Selector) Sources() Sources { return s.sources }

// Confirmed returns when the state of this host was last known to be up to date.
func (s *Selector) Confirmed() time.Time { return s.confirmed }

// PlatformAnswered records that the platform confirmed the state at the given time.
func (s *Selector) PlatformAnswered(confirmed time.Time) {
	if confirmed.After(s.direct) {
		s.direct = confirmed
	}
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
}

// PlatformFailed records a failed call to the platform. A host that has other sources
// stops reading the platform and retries later. The jitter is a random number from 0
// to 1 that keeps hosts from retrying at the same time.
func (s *Selector) PlatformFailed(now time.Time, jitter float64) {
	if !s.retrying || s.lost(now) {
		return
	}
	s.retrying = false
	s.retryAt = now.Add(s.spread(0.5 + jitter))
}

// spread returns a share of the period over which the group spreads its retries.
func (s *Selector) spread(share float64) time.Duration {
	return time.Duration(share * float64(max(s.group, 1)) * float64(s.config.RetrySpread))
}

// ReceivedMessage records that a peer runs.
func (s *Selector) ReceivedMessage(now time.Time, from pimentospread.HostID) {
	delete(s.avoidance, from)
	if from != s.sources.Peer {
		s.alive[from] = now
		return
	}
	s.received = now
}

// ReceivedStateUpdate records a message after which this host has the state of the peer,
// with the age of that state and the path over which the peer got it. State that the peer
// got from this host does not count as fresh.
func (s *Selector) ReceivedStateUpdate(now time.Time, from pimentospread.HostID, age time.Duration, path []pimentospread.HostID) {
	s.ReceivedMessage(now, from)
	if from != s.sources.Peer || slices.Contains(path, s.config.Self) {
		return
	}
	if confirmed := now.Add(-age); confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if age < s.maxAge() {
		s.fresh = now
	}
}

// Probe returns a host that is preferred to the chosen one, or an empty ID. The caller
// asks it for changes as well: it has not answered since it was lost, and the chosen host
// is kept until it answers; or this host gets fresh state from one of its followers, which
// its preferred source may lack and is offered with each subscription.
func (s *Selector) Probe(now time.Time) pimentospread.HostID {
	best, current := s.first(now, s.preferred), s.sources.Peer
	offers := s.offered != "" && s.offered == current && !s.stale(now)
	if current == "" || best == current || !offers && !s.keeps(now, best) {
		return ""
	}
	return best
}

// keeps reports whether the chosen peer is kept although best is preferred, because
// best may still be lost.
func (s *Selector) keeps(now time.Time, best pimentospread.HostID) bool {
	current := s.sources.Peer
	return current != "" && current != best && !s.stale(now) && now.After(s.avoidedUntil[current]) &&
		now.Sub(s.alive[best]) >= s.config.SilenceTimeout
}

// ReceivedSubscription records the age of the state of a follower. A follower becomes
// the source if the state of this host is stale and that of the follower is much fresher:
// the state that a follower got from this host seems fresher by the time of a message.
func (s *Selector) ReceivedSubscription(now time.Time, from pimentospread.HostID, age time.Duration) {
	if s.stale(now) && age < s.maxAge()/2 {
		s.offered = from
	}
}

// PeerLeft records that a peer is about to stop.
func (s *Selector) PeerLeft(now time.Time, from pimentospread.HostID) {
	s.avoidedUntil[from] = now.Add(s.config.MinAvoidance)
}

// avoid excludes a lost source. The time doubles with each loss until the source
// sends a message.
func (s *Selector) avoid(now time.Time, peer pimentospread.HostID) {
	duration := min(max(2*s.avoidance[peer], s.config.MinAvoidance), s.config.MaxAvoidance)
	s.avoidance[peer], s.avoidedUntil[peer] = duration, now.Add(duration)
}

// maxAge returns the age at which the state of this host is stale.
func (s *Selector) maxAge() time.Duration {
	if s.relay {
		return s.config.RelayMaxAge
	}
	return s.config.FollowerMaxAge
}

// stale reports whether the state is too old.
func (s *Selector) stale(now time.Time) bool { return now.Sub(s.confirmed) >= s.maxAge() }

// lost reports whether all preferred sources are avoided.
func (s *Selector) lost(now time.Time) bool { return s.first(now, s.preferred) == "" }

// Decide chooses where to get changes from. It returns the sources and whether they
// changed.
func (s *Selector) Decide(now time.Time, jitter float64) (Sources, bool) {
	if now.Sub(s.started) < s.config.SettleTime {
		return s.sources, false
	}
	if s.sources.Peer != "" && s.silent(now) {
		s.avoid(now, s.sources.Peer)
	}
	next := Sources{Peer: s.peer(now)}
	next.Platform = s.platform(now, next.Peer, jitter)
	if next == s.sources {
		return next, false
	}
	if next.Peer != s.sources.Peer {
		s.chosen, s.fresh = now, time.Time{}
	}
	s.sources = next
	return next, true
}

// silent reports whether the chosen peer has sent no message for too long.
func (s *Selector) silent(now time.Time) bool {
	if s.received.Before(s.chosen) {
		return now.Sub(s.chosen) >= s.config.AnswerTimeout
	}
	return now.Sub(s.received) >= s.config.SilenceTimeout
}

// peer returns the host to get changes from, or an empty ID.
func (s *Selector) peer(now time.Time) pimentospread.HostID {
	if s.offered != "" && s.offered == s.sources.Peer && now.Sub(later(s.fresh, s.chosen)) >= s.maxAge() {
		// The follower sends messages, but lost its own source.
		s.offered = ""
	}
	if best := s.first(now, s.preferred); best != "" && s.offered == "" {
		if slices.Contains(s.preferred, s.sources.Peer) && s.keeps(now, best) {
			return s.sources.Peer
		}
		return best
	}
	if now.Sub(s.direct) < s.maxAge() {
		// The platform answers this host, so no other source is needed.
		s.offered = ""
		return s.first(now, s.preferred)
	}
	if s.offered != "" && now.After(s.avoidedUntil[s.offered]) {
		return s.offered
	}
	s.offered = ""
	if best := s.first(now, s.preferred); best != "" {
		return best
	}
	current := s.sources.Peer
	if slices.Contains(s.others, current) && now.After(s.avoidedUntil[current]) && now.Sub(s.chosen) < s.maxAge() {
		return current
	}
	if !s.stale(now) {
		return ""
	}
	if current != "" {
		s.avoid(now, current)
	}
	return s.first(now, s.others)
}

// platform reports whether this host reads the platform: at once if the preferred
// sources are lost. If the state is too old, it schedules a retry of the platform,
// which goes on from when it is due until the chosen peer sends fresh state.
func (s *Selector) platform(now time.Time, peer pimentospread.HostID, jitter float64) bool {
	if s.lost(now) {
		return true
	}
	receiving := peer == s.sources.Peer && !s.fresh.IsZero() && now.Sub(s.fresh) < s.maxAge()
	switch {
	case receiving && !s.stale(now) && !now.Before(s.readUntil):
		s.retrying, s.retryAt = false, time.Time{}
	case s.retrying || !s.stale(now):
	case s.retryAt.IsZero():
		s.retryAt = now.Add(s.spread(jitter))
	case !now.Before(s.retryAt):
		s.retrying, s.readUntil = true, now.Add(time.Duration((0.5+jitter)*float64(s.config.ReadDuration)))
	}
	return s.retrying
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// first returns the first host of the list that is not avoided.
func (s *Selector) first(now time.Time, list []pimentospread.HostID) pimentospread.HostID {
	for _, id := range list {
		if now.After(s.avoidedUntil[id]) {
			return id
		}
	}
	return ""
}
