package steer

import (
	"time"

	"pimentospread"
	"pimentospread/balance"
	"pimentospread/discovery"
	"pimentospread/inflight"
	"pimentospread/outlier"
	"pimentospread/overload"
)

// Steerer decides what to do with each packet. It is not safe for concurrent use.
type Steerer struct {
	view     *View
	weights  Weights
	tracker  *inflight.Tracker
	detector *outlier.Detector
	// even sets the windows, and speeds holds the observed speeds of targets. Both are used if
	// Weights.EvenLoad is set.
	even   evenLoad
	speeds *balance.Speeds
	// overload decides which new flows are refused. It is nil unless load shedding is enabled.
	overload *overload.Controller
	// options holds the candidates of the view with their observed load and health.
	options map[pimentospread.ServiceName]options
	changes []SuspicionChange
	// unconfirmed holds flows of dropped routes that may belong to a later configuration.
	unconfirmed unconfirmedFlows
	cold        coldTargets
}

// SuspicionChange records that a target became suspected or recovered.
type SuspicionChange struct {
	Target    pimentospread.RegistrationName
	Token     pimentospread.Token
	Suspected bool
	// Opening is set if the packet that the target did not answer opens a flow. A target that
	// is full answers none.
	Opening bool
	// Since is when the caller had sent the packet that the target did not answer.
	Since time.Time
}

// SuspicionChanges returns the changes since the last call.
func (s *Steerer) SuspicionChanges() []SuspicionChange {
	c := s.changes
	s.changes = nil
	return c
}

// answered records that the target answered a caller at the given time or later.
func (s *Steerer) answered(at time.Time, t *discovery.Target) {
	if s.detector.RecordAnswer(at, t.Token) {
		s.changes = append(s.changes, SuspicionChange{Target: t.Registration.Name, Token: t.Token})
	}
}

// retransmitted records that a caller retransmitted a packet to the target with the given
// token. A packet for an earlier process of the target may have been lost while it restarted.
func (s *Steerer) retransmitted(now time.Time, token pimentospread.Token, t *discovery.Target, sent time.Time, opening bool) {
	if token != t.Token && sent.Before(t.Since) {
		return
	}
	if s.detector.RecordRetransmission(now, t.Token, sent) {
		s.changes = append(s.changes, SuspicionChange{Target: t.Registration.Name, Token: t.Token, Suspected: true, Opening: opening, Since: sent})
	}
}

// New returns a steerer that drops all packets until it gets a complete view.
func New(w Weights, tracker *inflight.Tracker, detector *outlier.Detector) *Steerer {
	return &Steerer{
		weights: w, tracker: tracker, detector: detector, even: defaultEvenLoad(), speeds: balance.NewSpeeds(defaultSpeeds()),
		options:     map[pimentospread.ServiceName]options{},
		unconfirmed: unconfirmedFlows{seen: map[pimentospread.FlowID]time.Time{}}, cold: newColdTargets(),
	}
}

// SetView replaces the view that decisions are based on.
func (s *Steerer) SetView(v *View) {
	unchanged := s.view != nil && s.view.identity == v.identity
	s.view = v
	if unchanged {
		return
	}
	s.buildOptions()
	s.cold.setView(v)
	known := func(t pimentospread.Token) bool { return v.tokens[t] != nil }
	s.tracker.Retain(known)
	s.detector.Retain(known)
	s.speeds.Retain(known)
	// A service without targets that take new flows may still serve open ones.
	serving := func(service pimentospread.ServiceName) bool { return v.known[service] }
	s.detector.RetainServices(serving)
	if s.overload != nil {
		s.overload.Retain(serving)
	}
}

// buildOptions replaces the options by those of the view.
func (s *Steerer) buildOptions() {
	s.options = make(map[pimentospread.ServiceName]options, len(s.view.services))
	var position balance.Position
	if s.weights.EvenLoad {
		position = s.view.position()
	}
	for service, candidates := range s.view.services {
		o := s.optionsOf(service, candidates)
		if s.weights.EvenLoad && position.Known() {
			o.split(balance.NewRing(s.even.ring, position, service, o.localNames()))
		}
		s.options[service] = o
	}
}

func (s *Steerer) optionsOf(service pimentospread.ServiceName, candidates []candidate) options {
	var result options
	for _, c := range candidates {
		o := option{candidate: c, load: s.tracker.Target(c.target.Token), health: s.detector.Target(c.target.Token)}
		if s.weights.EvenLoad {
			o.speed = s.speeds.Target(service, c.target.Token)
		}
		if c.local {
			result.local = append(result.local, o)
		} else {
			result.remote = append(result.remote, o)
		}
	}
	return result
}

// SetWeights replaces the weights for comparing targets.
func (s *Steerer) SetWeights(w Weights) {
	changed := s.weights.EvenLoad != w.EvenLoad
	s.weights = w
	if changed && s.view != nil {
		s.buildOptions()
	}
}

// View returns the current view. It is nil before the first SetView.
func (s *Steerer) View() *View { return s.view }

// Steer returns what to do with a caller's packet.
func (s *Steerer) Steer(now time.Time, p Packet) Action {
	if s.view == nil || !s.view.Complete() {
		return Action{Kind: Drop, Cause: CauseNoConfiguration}
	}
	s.cold.advance(now)
	if p.Opens {
		return s.open(now, p)
	}
	return s.follow(now, p)
}

// open selects the target of a new flow. A retransmitted SYN goes to the same
// target as before, because the caller may still get the answer to the first one, unless that
// target is suspected, has departed, is in an evacuated failure domain or no longer serves the route.
func (s *Steerer) open(now time.Time, p Packet) Action {
	route, ok := s.view.routes[p.Key.Service]
	if !ok {
		return Action{Kind: Reset, Cause: CauseNoRoute}
	}
	flow := p.Key.ID()
	service := chooseService(route, flow)
	if previous, sent, ok := s.tracker.OpeningTarget(flow); ok && p.Retransmissions > 0 {
		if t, known := s.view.tokens[previous.Token]; known {
			if s.tracker.IsRetransmission(now, sent) {
				s.retransmitted(now, t.Token, s.view.latest(t), sent, true)
			}
			if t.Registration.Service == service && s.view.acceptsSYNs(t) && !s.detector.Target(previous.Token).Suspected() {
				return forward(t, CauseSYNRetransmission)
			}
		}
	}
	o, cause := s.choose(now, service, flow, p.Retransmissions)
	if cause == CauseNoTarget || cause == CauseEvacuated || cause == CauseCold {
		return Action{Kind: Reset, Cause: cause}
	}
	if cause != CauseTrial && !s.admits(now, p, &route, service) {
		return Action{Kind: Reset, Cause: CauseOverload}
	}
	s.tracker.RecordOpen(now, flow, o.load)
	s.cold.record(now, &o)
	return forward(o.target, cause)
}

// forward returns the action that sends a packet to the target.
func forward(t *discovery.Target, cause Cause) Action {
	r := &t.Registration
	return Action{
		Kind: Forward, Cause: cause, Target: t.Token,
		Name: r.Name, FailureDomain: r.FailureDomain, Instance: r.Instance, Address: r.Address,
	}
}

// chooseService returns the service of a flow. It splits the flows of a route among
// its services by weight. A route without services has the empty name, which no target serves.
func chooseService(r pimentospread.Route, flow pimentospread.FlowID) pimentospread.ServiceName {
	if len(r.Services) == 0 {
		return ""
	}
	var total uint64
	for _, s := range r.Services {
		total += uint64(s.Weight)
	}
	if len(r.Services) == 1 || total == 0 {
		return r.Services[0].Service
	}
	position := mix(uint64(flow)) % total
	for _, s := range r.Services {
		if position < uint64(s.Weight) {
			return s.Service
		}
		position -= uint64(s.Weight)
	}
	return r.Services[0].Service
}

// follow forwards a packet of an open flow to the target that its token names.
func (s *Steerer) follow(now time.Time, p Packet) Action {
	if s.view.dropped[p.Key.Service] {
		return s.followDropped(now, p)
	}
	t, ok := s.view.tokens[p.Token]
	if !ok {
		// The target may be newer than the view of this host. The caller retransmits.
		return Action{Kind: Drop, Cause: CauseUnknownToken}
	}
	latest := s.view.latest(t)
	signal := s.tracker.Observe(now, inflight.Segment{
		Flow: p.Key.ID(), Token: latest.Token, Sequence: p.Sequence, Acknowledgement: p.Acknowledgement, Length: p.Length,
		Ends: p.Ends || p.Resets,
	})
	if signal.Answered {
		s.answered(signal.AnsweredAt, latest)
	}
	if !signal.DeliveredAt.IsZero() {
		s.detector.RecordDelivery(signal.DeliveredAt)
	}
	if signal.AnswerTime > 0 && !p.Delayed {
		s.detector.RecordAnswerTime(now, t.Registration.Service, signal.AnswerTime)
		// A cold target is slow for a while, and its cost takes this into account already.
		if s.weights.EvenLoad && !now.Before(latest.WarmUntil) {
			s.speeds.Observe(now, t.Registration.Service, latest.Token, signal.AnswerTime)
		}
		s.observeResponse(now, p, t, signal.AnswerTime)
	}
	if signal.Retransmitted {
		s.retransmitted(now, t.Token, latest, signal.SentAt, false)
		s.detector.RecordUnanswered(now, unanswered(p, latest, signal))
	}
	switch {
	case signal.Retransmitted && s.lost(latest):
		return s.resetFlow(now, CauseLostTarget, latest)
	case signal.Retransmitted && s.givesUp(now, p, latest, signal):
		return s.resetFlow(now, CauseSilentTarget, latest)
	case t.Departed:
		a := forward(t, CauseDeparted)
		a.Restarted = latest != t
		return a
	case signal.Retransmitted:
		return forward(t, CauseRetransmission)
	default:
		return forward(t, CauseToken)
	}
}

// givesUp reports whether a flow is reset because its target leaves a request unanswered,
// so that the caller can repeat it before its deadline. A request that must not run
// twice is never given up: it may be running, and its answer may still come.
func (s *Steerer) givesUp(now time.Time, p Packet, t *discovery.Target, signal inflight.Signal) bool {
	return !p.Delayed && s.view.routes[p.Key.Service].Idempotent && s.detector.GivesUp(now, unanswered(p, t, signal))
}

// resetFlow returns the action that resets an open flow because its target does not answer.
func (s *Steerer) resetFlow(now time.Time, cause Cause, t *discovery.Target) Action {
	return Action{Kind: Reset, Cause: cause, Target: t.Token, Name: t.Registration.Name, Evidence: s.detector.Evidence(now, t.Token)}
}

// unanswered returns the request that a caller has just retransmitted.
func unanswered(p Packet, t *discovery.Target, signal inflight.Signal) outlier.UnansweredRequest {
	return outlier.UnansweredRequest{
		Flow: p.Key.ID(), Target: t.Token, Service: t.Registration.Service, FirstSentAt: signal.FirstSentAt, LastSentAt: signal.SentAt,
	}
}

// lost reports whether a target that did not answer a packet has stopped for good. The
// target is the latest process under its name: a flow with the token of an earlier process
// may be open at the latest one, and a target resets the flows that it does not hold.
// A target that was draining still serves its flows after its registration was
// removed. A target that answers other callers is running, even if the platform no
// longer lists it.
func (s *Steerer) lost(t *discovery.Target) bool {
	return t.Departed && !t.Registration.Draining && s.detector.Target(t.Token).Suspected()
}
