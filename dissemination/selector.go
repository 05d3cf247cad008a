package dissemination

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/member"
)

// SelectorConfig says how long a host waits for news.
type SelectorConfig struct {
	Self   pimentospread.HostID
	Domain pimentospread.FailureDomain
	// SettleTime is the time after the start in which the platform is read, until the other hosts are known.
	SettleTime time.Duration
	// SilenceTimeout is the time without any news after which a source counts as lost.
	SilenceTimeout time.Duration
	// RelayMaxAge is the age of belief at which a host that others hear from
	// tries the platform itself, and MaxAge that of the others. The first is
	// shorter, so that the others need not try in most cases.
	RelayMaxAge, MaxAge time.Duration
	// RetrySpread is the time for each host of a group over which its hosts spread
	// their tries, so that the calls of a group do not grow with its hosts.
	RetrySpread time.Duration
	// MinAvoidance is how long a lost source is not asked again. It doubles up to
	// MaxAvoidance while the source stays lost.
	MinAvoidance, MaxAvoidance time.Duration
}

// Choice is where a host hears changes from. Both may be set while it changes over.
type Choice struct {
	// Platform says that the host reads the platform itself.
	Platform bool
	// Peer is the host to hear from. Empty means none.
	Peer pimentospread.HostID
}

// Selector decides where a host hears changes from. The first host by rank of a
// failure domain hears from the first of all, which reads the platform, and
// the others of the domain hear from theirs. A source that falls silent is left
// for the next one and in the end for the platform. A source that is sound but
// does not hear the platform itself is kept; its followers try the platform at
// spread times, and one that succeeds becomes the source of its source.
type Selector struct {
	config  SelectorConfig
	started time.Time
	// order holds the preferred sources. It is empty for the reader of the platform.
	order []pimentospread.HostID
	// others are asked when neither those nor the platform answer.
	others []pimentospread.HostID
	relay  bool
	// group is the number of hosts that may try the platform at the same time.
	group int
	// avoided holds when a source may be asked again, and pauses how long it was avoided last.
	avoided map[pimentospread.HostID]time.Time
	pauses  map[pimentospread.HostID]time.Duration
	// alive holds when hosts other than the chosen one were last heard.
	alive map[pimentospread.HostID]time.Time
	// offered is a host that has said that it knows more than this one.
	offered pimentospread.HostID
	choice  Choice
	// confirmed is the time up to which the belief is known to be complete, and
	// direct that up to which the platform itself has shown it.
	confirmed, direct time.Time
	// chosen is when the peer was chosen, heard when it last sent news, and fresh
	// when its news last showed that the belief is complete.
	chosen, heard, fresh time.Time
	// trying says that the platform is read for want of fresh news, and tryAt
	// when it is to be read next.
	trying bool
	tryAt  time.Time
}

// NewSelector returns a selector that reads the platform.
func NewSelector(now time.Time, c SelectorConfig) *Selector {
	return &Selector{
		config: c, started: now, confirmed: now, direct: now, chosen: now,
		choice: Choice{Platform: true}, trying: true,
		avoided: map[pimentospread.HostID]time.Time{},
		pauses:  map[pimentospread.HostID]time.Duration{},
		alive:   map[pimentospread.HostID]time.Time{},
	}
}

// SetPeers takes the hosts of the system.
func (s *Selector) SetPeers(peers []Peer) {
	candidates := make([]member.Candidate, 0, len(peers))
	domain := map[pimentospread.HostID]pimentospread.FailureDomain{}
	for _, p := range peers {
		candidates = append(candidates, member.Candidate{ID: p.Host, FailureDomain: p.FailureDomain})
		domain[p.Host] = p.FailureDomain
	}
	ranked := member.Rank(0, candidates, len(candidates))
	var own []pimentospread.HostID
	for _, id := range ranked {
		if domain[id] == s.config.Domain {
			own = append(own, id)
		}
	}
	place := slices.Index(own, s.config.Self)
	s.relay, s.group = place == 0, len(own)
	switch {
	case place == 0 && ranked[0] != s.config.Self:
		s.order, s.group = ranked[:1], countDomains(domain)
	case place > 0:
		s.order = own[:min(place, 2)]
	case place < 0:
		s.order = own[:min(len(own), 2)]
	default:
		s.order = nil
	}
	s.others = slices.DeleteFunc(slices.Clone(ranked), func(id pimentospread.HostID) bool {
		return id == s.config.Self || slices.Contains(s.order, id)
	})
}

func countDomains(domains map[pimentospread.HostID]pimentospread.FailureDomain) int {
	set := map[pimentospread.FailureDomain]bool{}
	for _, d := range domains {
		set[d] = true
	}
	return len(set)
}

// Relay reports whether the other hosts of the failure domain prefer to hear from this one.
func (s *Selector) Relay() bool { return s.relay }

// Choice returns where to hear from now.
func (s *Selector) Choice() Choice { return s.choice }

// Confirmed returns the time up to which the belief is known to be complete.
func (s *Selector) Confirmed() time.Time { return s.confirmed }

// PlatformAnswered says that the host's own reading of the platform is complete up to a time.
func (s *Selector) PlatformAnswered(confirmed time.Time) {
	if confirmed.After(s.direct) {
		s.direct = confirmed
	}
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
}

// PlatformFailed says that a call to the platform failed. A host that only tried
// tries again later; the jitter from 0 to 1 keeps hosts from trying in step.
func (s *Selector) PlatformFailed(now time.Time, jitter float64) {
	if !s.trying || s.lost(now) {
		return
	}
	s.trying = false
	s.tryAt = now.Add(s.spread(0.5 + jitter))
}

func (s *Selector) spread(share float64) time.Duration {
	return time.Duration(share * float64(max(s.group, 1)) * float64(s.config.RetrySpread))
}

// ReceivedNews takes the age of the belief of a peer. News that came from this host
// itself prove nothing.
func (s *Selector) ReceivedNews(now time.Time, from pimentospread.HostID, age time.Duration, path []pimentospread.HostID) {
	delete(s.pauses, from)
	if from != s.choice.Peer {
		s.alive[from] = now
		return
	}
	s.heard = now
	if slices.Contains(path, s.config.Self) {
		return
	}
	if confirmed := now.Add(-age); confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if age < s.patience() {
		s.fresh = now
	}
}

// Probe returns a host that is preferred to the chosen one and has not shown that
// it is back. It is to be asked for news; the chosen one is kept until they come.
func (s *Selector) Probe(now time.Time) pimentospread.HostID {
	best := s.first(now, s.order)
	if s.choice.Peer == "" || best == s.choice.Peer || !s.keeps(now, best) {
		return ""
	}
	return best
}

// keeps reports whether the chosen peer is better than one that may still be lost.
func (s *Selector) keeps(now time.Time, best pimentospread.HostID) bool {
	current := s.choice.Peer
	return current != "" && current != best && !s.stale(now) && now.After(s.avoided[current]) &&
		now.Sub(s.alive[best]) >= s.config.SilenceTimeout
}

// ReceivedSubscription says that a host that hears from this one has a belief of the given age.
func (s *Selector) ReceivedSubscription(now time.Time, from pimentospread.HostID, age time.Duration) {
	if s.stale(now) && age < s.patience() {
		s.offered = from
	}
}

// PeerLeft says that a peer is about to stop.
func (s *Selector) PeerLeft(now time.Time, from pimentospread.HostID) {
	s.avoided[from] = now.Add(s.config.MinAvoidance)
}

func (s *Selector) avoid(now time.Time, peer pimentospread.HostID) {
	pause := min(max(2*s.pauses[peer], s.config.MinAvoidance), s.config.MaxAvoidance)
	s.pauses[peer], s.avoided[peer] = pause, now.Add(pause)
}

func (s *Selector) patience() time.Duration {
	if s.relay {
		return s.config.RelayMaxAge
	}
	return s.config.MaxAge
}

func (s *Selector) stale(now time.Time) bool { return now.Sub(s.confirmed) >= s.patience() }

// lost reports whether no preferred source can be asked.
func (s *Selector) lost(now time.Time) bool { return s.first(now, s.order) == "" }

// Decide returns where to hear from, and whether that changed.
func (s *Selector) Decide(now time.Time, jitter float64) (Choice, bool) {
	if now.Sub(s.started) < s.config.SettleTime {
		return s.choice, false
	}
	if peer := s.choice.Peer; peer != "" && now.Sub(later(s.heard, s.chosen)) >= s.config.SilenceTimeout {
		s.avoid(now, peer)
	}
	next := Choice{Peer: s.peer(now)}
	next.Platform = s.platform(now, next.Peer, jitter)
	if next == s.choice {
		return next, false
	}
	if next.Peer != s.choice.Peer {
		s.chosen, s.fresh = now, time.Time{}
	}
	s.choice = next
	return next, true
}

// peer returns the host to hear from.
func (s *Selector) peer(now time.Time) pimentospread.HostID {
	if best := s.first(now, s.order); best != "" && s.offered == "" {
		if slices.Contains(s.order, s.choice.Peer) && s.keeps(now, best) {
			return s.choice.Peer
		}
		return best
	}
	if now.Sub(s.direct) < s.patience() {
		// The platform answers, so nobody else is needed.
		s.offered = ""
		return s.first(now, s.order)
	}
	if s.offered != "" && now.After(s.avoided[s.offered]) {
		return s.offered
	}
	s.offered = ""
	if best := s.first(now, s.order); best != "" {
		return best
	}
	current := s.choice.Peer
	if slices.Contains(s.others, current) && now.After(s.avoided[current]) && now.Sub(s.chosen) < s.patience() {
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

// platform reports whether the platform is to be read.
func (s *Selector) platform(now time.Time, peer pimentospread.HostID, jitter float64) bool {
	if s.lost(now) {
		return true
	}
	hears := peer == s.choice.Peer && !s.fresh.IsZero() && now.Sub(s.fresh) < s.patience()
	switch {
	case hears && !s.stale(now):
		s.trying, s.tryAt = false, time.Time{}
	case s.trying || !s.stale(now):
	case s.tryAt.IsZero():
		s.tryAt = now.Add(s.spread(jitter))
	case !now.Before(s.tryAt):
		s.trying = true
	}
	return s.trying
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Selector) first(now time.Time, list []pimentospread.HostID) pimentospread.HostID {
	for _, id := range list {
		if now.After(s.avoided[id]) {
			return id
		}
	}
	return ""
}
