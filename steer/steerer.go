package steer

import (
	"time"

	"pimentospread"
)

// Steerer decides on packets. It belongs to one duty.
type Steerer struct {
	view *View
}

// New returns a steerer that believes nothing yet.
func New() *Steerer { return &Steerer{} }

// SetView replaces what the steerer believes.
func (s *Steerer) SetView(v *View) { s.view = v }

// View returns what the steerer believes. It is nil at first.
func (s *Steerer) View() *View { return s.view }

// Steer decides on a packet of a caller.
func (s *Steerer) Steer(now time.Time, p Packet) Action {
	if s.view == nil || s.view.Version == 0 {
		return Action{Kind: Drop, Cause: CauseNoBelief}
	}
	if p.Opens {
		return s.open(now, p)
	}
	return s.follow(p)
}

// open chooses the target of a new flow.
func (s *Steerer) open(now time.Time, p Packet) Action {
	route, ok := s.view.routes[p.Key.Service]
	if !ok {
		return Action{Kind: Reset, Cause: CauseNoRoute}
	}
	flow := p.Key.ID()
	service := chooseService(route, flow)
	c, ok := s.view.rank(now, service, flow, func(candidate) bool { return true })
	if !ok {
		return Action{Kind: Reset, Cause: CauseNoTarget}
	}
	return forward(c, CauseRank)
}

func forward(c candidate, cause Cause) Action {
	r := &c.target.Registration
	return Action{
		Kind: Forward, Cause: cause, Target: c.target.Token,
		Name: r.Name, Instance: r.Instance, Address: r.Address,
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
func (s *Steerer) follow(p Packet) Action {
	if s.view.dropped[p.Key.Service] {
		return Action{Kind: Reset, Cause: CauseRouteDropped}
	}
	t, ok := s.view.tokens[p.Token]
	if !ok {
		// The target may be newer than what this host has heard; the sender repeats the packet.
		return Action{Kind: Drop, Cause: CauseUnknownToken}
	}
	r := &t.Registration
	a := Action{
		Kind: Forward, Cause: CauseToken, Target: p.Token,
		Name: r.Name, Instance: r.Instance, Address: r.Address,
	}
	if t.Departed {
		a.Cause = CauseDeparted
	}
	return a
}
