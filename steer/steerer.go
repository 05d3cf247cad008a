package steer

import (
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/inflight"
	"pimentospread/outlier"
)

// Steerer decides on packets. It belongs to one duty.
type Steerer struct {
	view    *View
	weights Weights
	tracker *inflight.Tracker
	doubts  *outlier.Detector
	// options are the candidates of the view with their loads.
	options map[pimentospread.ServiceName]options
	changes []SuspicionChange
}

// SuspicionChange is the begin or the end of a doubt about a target.
type SuspicionChange struct {
	Target    pimentospread.RegistrationName
	Token     pimentospread.Token
	Suspected bool
	// Since is when the caller had last sent what the target left unanswered.
	Since time.Time
}

// SuspicionChanges returns the doubts that began or ended since the last call.
func (s *Steerer) SuspicionChanges() []SuspicionChange {
	c := s.changes
	s.changes = nil
	return c
}

func (s *Steerer) answered(now time.Time, t *discovery.Target) {
	if s.doubts.RecordAnswer(now, t.Token) {
		s.changes = append(s.changes, SuspicionChange{Target: t.Registration.Name, Token: t.Token})
	}
}

func (s *Steerer) repeated(now time.Time, t *discovery.Target, sent time.Time) {
	if s.doubts.RecordRetransmission(now, t.Token, sent) {
		s.changes = append(s.changes, SuspicionChange{Target: t.Registration.Name, Token: t.Token, Suspected: true, Since: sent})
	}
}

// New returns a steerer that believes nothing yet.
func New(w Weights, tracker *inflight.Tracker, doubts *outlier.Detector) *Steerer {
	return &Steerer{weights: w, tracker: tracker, doubts: doubts, options: map[pimentospread.ServiceName]options{}}
}

// SetView replaces what the steerer believes.
func (s *Steerer) SetView(v *View) {
	same := s.view != nil && s.view.built == v.built
	s.view = v
	if same {
		return
	}
	s.options = make(map[pimentospread.ServiceName]options, len(v.services))
	for service, candidates := range v.services {
		s.options[service] = s.optionsOf(candidates)
	}
	known := func(t pimentospread.Token) bool { return v.tokens[t] != nil }
	s.tracker.Retain(known)
	s.doubts.Retain(known)
}

func (s *Steerer) optionsOf(candidates []candidate) options {
	var of options
	for _, c := range candidates {
		o := option{c, s.tracker.Target(c.target.Token), s.doubts.Target(c.target.Token)}
		if c.local {
			of.local = append(of.local, o)
		} else {
			of.remote = append(of.remote, o)
		}
	}
	return of
}

// SetWeights replaces how targets are compared.
func (s *Steerer) SetWeights(w Weights) { s.weights = w }

// View returns what the steerer believes. It is nil at first.
func (s *Steerer) View() *View { return s.view }

// Steer decides on a packet of a caller.
func (s *Steerer) Steer(now time.Time, p Packet) Action {
	if s.view == nil || s.view.Version == 0 {
		return Action{Kind: Drop, Cause: CauseNoConfiguration}
	}
	if p.Opens {
		return s.open(now, p)
	}
	return s.follow(now, p)
}

// open chooses the target of a new flow.
func (s *Steerer) open(now time.Time, p Packet) Action {
	route, ok := s.view.routes[p.Key.Service]
	if !ok {
		return Action{Kind: Reset, Cause: CauseNoRoute}
	}
	flow := p.Key.ID()
	service := chooseService(route, flow)
	if chosen, sent, ok := s.tracker.OpeningTarget(flow); ok && p.Retransmissions > 0 {
		if t, known := s.view.tokens[chosen.Token]; known {
			if s.tracker.IsRetransmission(now, sent) {
				s.repeated(now, t, sent)
			}
			if !s.doubts.Target(chosen.Token).Suspected() {
				return forward(t, CauseCopy)
			}
		}
	}
	o, cause := s.choose(now, service, flow, p.Retransmissions == 0)
	if cause == CauseNoTarget {
		return Action{Kind: Reset, Cause: cause}
	}
	s.tracker.RecordOpen(now, flow, o.load)
	return forward(o.target, cause)
}

func forward(t *discovery.Target, cause Cause) Action {
	r := &t.Registration
	return Action{
		Kind: Forward, Cause: cause, Target: t.Token,
		Name: r.Name, Domain: r.FailureDomain, Instance: r.Instance, Address: r.Address,
	}
}

// chooseService splits the flows of a route over its services by weight.
func chooseService(r pimentospread.Route, flow pimentospread.FlowID) pimentospread.ServiceName {
	var total uint64
	for _, s := range r.Services {
		total += uint64(s.Weight)
	}
	if len(r.Services) == 1 || total == 0 {
		return r.Services[0].Service
	}
	at := mix(uint64(flow)) % total
	for _, s := range r.Services {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return r.Services[0].Service
}

// follow steers a packet of an open flow by its token.
func (s *Steerer) follow(now time.Time, p Packet) Action {
	if s.view.dropped[p.Key.Service] {
		return Action{Kind: Reset, Cause: CauseRouteDropped}
	}
	t, ok := s.view.tokens[p.Token]
	if !ok {
		// The target may be newer than what this host has heard; the sender repeats the packet.
		return Action{Kind: Drop, Cause: CauseUnknownToken}
	}
	signal := s.tracker.Observe(now, inflight.Segment{
		Flow: p.Key.ID(), Token: p.Token, Sequence: p.Sequence, Ack: p.Ack, Length: p.Length,
		Ends: p.Ends || p.Resets,
	})
	if signal.Answered {
		s.answered(now, t)
	}
	if signal.Retransmitted {
		s.repeated(now, t, signal.SentAt)
	}
	switch {
	case signal.Retransmitted && s.lost(t):
		return Action{Kind: Reset, Cause: CauseLostTarget}
	case t.Departed:
		return forward(t, CauseDeparted)
	case signal.Retransmitted:
		return forward(t, CauseRepeated)
	default:
		return forward(t, CauseToken)
	}
}

// lost reports whether a target that has left what was sent to it unanswered is
// gone for good. A target that drained serves its flows after its registration
// has gone; one that others hear from lives, whatever the platform says.
func (s *Steerer) lost(t *discovery.Target) bool {
	return t.Departed && !t.Registration.Draining && s.doubts.Target(t.Token).Suspected()
}
