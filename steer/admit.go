package steer

import (
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/overload"
)

// SetLoadShedding sets whether new flows of a busy service may be refused. Enabling it starts
// without earlier observations.
func (s *Steerer) SetLoadShedding(enabled bool) {
	switch {
	case !enabled:
		s.overload = nil
	case s.overload == nil:
		s.overload = overload.New(overload.DefaultConfig())
	}
}

// admits reports whether a new flow of the route may be opened at the service. A host whose
// packets may have waited cannot judge how busy the service is. Trial flows are not refused,
// because a target that was suspected may be idle.
func (s *Steerer) admits(now time.Time, p Packet, route *pimentospread.Route, service pimentospread.ServiceName) bool {
	return s.overload == nil || p.Delayed || s.overload.Admits(now, overload.Request{
		Service: service, Priority: route.Priority, Flow: p.Key.ID(), Retransmissions: p.Retransmissions,
	})
}

// observeResponse records how long a target took to respond to a request of the packet's flow.
func (s *Steerer) observeResponse(now time.Time, p Packet, t *discovery.Target, taken time.Duration) {
	if s.overload != nil {
		s.overload.Observe(now, overload.Response{
			Service: t.Registration.Service, Latency: s.view.routes[p.Key.Service].Latency, Taken: taken,
		})
	}
}

// Pressure calls report with the queueing delay of each service of the view, relative to the
// response time without load.
func (s *Steerer) Pressure(now time.Time, report func(pimentospread.ServiceName, float64)) {
	if s.view == nil || s.overload == nil {
		return
	}
	for service := range s.view.services {
		report(service, s.overload.Pressure(now, service))
	}
}
