package feed

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
	// Settle is the time after the start in which the platform is read, until the other hosts are known.
	Settle time.Duration
	// RelayPatience is the age of belief at which a host that others hear from
	// turns to another source, and Patience that of the others. The first is
	// shorter, so that one host of a failure domain asks the platform and not all.
	RelayPatience, Patience time.Duration
	// Avoid is how long a source that went stale is not asked again.
	Avoid time.Duration
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
// the others of the domain hear from theirs; a source that goes stale is left
// for the next one and in the end for the platform.
type Selector struct {
	config  SelectorConfig
	started time.Time
	// order holds the preferred sources; the platform follows them.
	order []pimentospread.HostID
	// others are asked when the platform does not answer either.
	others []pimentospread.HostID
	relay  bool
	// avoided holds when a source may be asked again.
	avoided map[pimentospread.HostID]time.Time
	choice  Choice
	// confirmed is the time up to which the belief is known to be complete.
	confirmed time.Time
	// chosen is when the choice was made.
	chosen time.Time
	// heard says that the chosen peer has sent news that are fresh.
	heard bool
}

// NewSelector returns a selector that reads the platform.
func NewSelector(now time.Time, c SelectorConfig) *Selector {
	return &Selector{
		config: c, started: now, confirmed: now, chosen: now, choice: Choice{Platform: true},
		avoided: map[pimentospread.HostID]time.Time{},
	}
}

// SetPeers takes the hosts of the system.
func (s *Selector) SetPeers(peers []Peer) {
	candidates := make([]member.Candidate, 0, len(peers))
	for _, p := range peers {
		candidates = append(candidates, member.Candidate{ID: p.Host, FailureDomain: p.FailureDomain})
	}
	ranked := member.Rank(0, candidates, len(candidates))
	domain := map[pimentospread.HostID]pimentospread.FailureDomain{}
	for _, c := range candidates {
		domain[c.ID] = c.FailureDomain
	}
	s.order, s.others, s.relay = nil, nil, false
	place := 0
	for _, id := range ranked {
		if domain[id] != s.config.Domain {
			continue
		}
		if id == s.config.Self {
			s.relay = place == 0
			break
		}
		place++
	}
	for _, id := range ranked {
		switch own := domain[id] == s.config.Domain; {
		case id == s.config.Self:
		case !s.relay && own && len(s.order) < min(place, 2):
			s.order = append(s.order, id)
		case s.relay && len(s.order) == 0 && id == ranked[0]:
			s.order = append(s.order, id)
		default:
			s.others = append(s.others, id)
		}
	}
}

// Relay reports whether the other hosts of the failure domain prefer to hear from this one.
func (s *Selector) Relay() bool { return s.relay }

// Choice returns where to hear from now.
func (s *Selector) Choice() Choice { return s.choice }

// Confirmed returns the time up to which the belief is known to be complete.
func (s *Selector) Confirmed() time.Time { return s.confirmed }

// PlatformAnswered says that the host's own reading of the platform is complete up to a time.
func (s *Selector) PlatformAnswered(confirmed time.Time) {
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
}

// Heard takes the age of the belief of a peer. News that came from this host
// itself prove nothing.
func (s *Selector) Heard(now time.Time, from pimentospread.HostID, age time.Duration, path []pimentospread.HostID) {
	if from != s.choice.Peer || slices.Contains(path, s.config.Self) {
		return
	}
	if confirmed := now.Add(-age); confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	s.heard = s.heard || age < s.patience()
}

// Left says that a peer is about to stop.
func (s *Selector) Left(now time.Time, from pimentospread.HostID) {
	s.avoided[from] = now.Add(s.config.Avoid)
}

func (s *Selector) patience() time.Duration {
	if s.relay {
		return s.config.RelayPatience
	}
	return s.config.Patience
}

// Decide returns where to hear from, and whether that changed.
func (s *Selector) Decide(now time.Time) (Choice, bool) {
	if now.Sub(s.started) < s.config.Settle {
		return s.choice, false
	}
	next := s.next(now)
	if next == s.choice {
		return next, false
	}
	if next.Peer != s.choice.Peer {
		s.chosen, s.heard = now, false
	}
	s.choice = next
	return next, true
}

func (s *Selector) next(now time.Time) Choice {
	stale := now.Sub(s.confirmed) >= s.patience()
	current := s.choice.Peer
	if current != "" && stale && now.Sub(s.chosen) >= s.patience() {
		s.avoided[current] = now.Add(s.config.Avoid)
	}
	best := s.first(now, s.order)
	switch {
	case best == "" && !stale:
		return Choice{Platform: true}
	case best == "":
		// The platform does not answer; another host may still hear it.
		return Choice{Platform: true, Peer: s.keepOr(now, s.others)}
	case best == current && s.heard && !stale:
		return Choice{Peer: best}
	default:
		// The platform is read until the peer's news are fresh.
		return Choice{Platform: true, Peer: best}
	}
}

// keepOr returns the current peer while it is among the allowed ones, so that
// the host does not change between sources that are all stale.
func (s *Selector) keepOr(now time.Time, list []pimentospread.HostID) pimentospread.HostID {
	if slices.Contains(list, s.choice.Peer) && now.After(s.avoided[s.choice.Peer]) {
		return s.choice.Peer
	}
	return s.first(now, list)
}

func (s *Selector) first(now time.Time, list []pimentospread.HostID) pimentospread.HostID {
	for _, id := range list {
		if now.After(s.avoided[id]) {
			return id
		}
	}
	return ""
}
