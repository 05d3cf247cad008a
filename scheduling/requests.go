// Package scheduling puts the deciders of a host together with their limits. An
// entry host and a trace replay use the same engines.
package scheduling

import (
	"math/rand/v2"
	"time"

	"pimentospread"
	"pimentospread/admission"
	"pimentospread/dataplane"
)

// RequestsDeps are the dependencies of a Requests engine.
type RequestsDeps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Started     time.Time
	// Seed makes the random choices repeatable.
	Seed    uint64
	Metrics pimentospread.Metrics
}

// Requests decides on requests, with admission and placement.
type Requests struct {
	*dataplane.RequestDispatcher
	queue   *admission.Queue
	limiter *admission.Limiter
}

// NewRequests returns an engine without a view.
func NewRequests(deps RequestsDeps) *Requests {
	queue := admission.NewQueue(admission.QueueDeps{Metrics: deps.Metrics})
	limiter := admission.NewLimiter(admission.LimiterDeps{Metrics: deps.Metrics})
	return &Requests{
		queue:   queue,
		limiter: limiter,
		RequestDispatcher: dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
			Self: deps.Self, Incarnation: deps.Incarnation, Started: deps.Started,
			Admission: queue, Placement: limiter,
			Random: rand.New(rand.NewPCG(deps.Seed, uint64(deps.Incarnation))),
		}),
	}
}

// Configure takes a new view of the cell.
func (r *Requests) Configure(now time.Time, v *dataplane.View, a *dataplane.RequestActions) {
	services := make([]admission.Service, 0, len(v.Services))
	for id, s := range v.Services {
		services = append(services, admission.Service{
			ID: id, Classes: s.Policy.Classes, Targets: s.Pool.Targets, ColdStart: s.Policy.ColdStart.Duration,
		})
	}
	live := make([]pimentospread.HostID, 0, len(v.LiveHosts))
	for _, c := range v.LiveHosts {
		live = append(live, c.ID)
	}
	r.queue.Configure(now, services, live, v.Self)
	r.limiter.Configure(now, services, live, v.Self)
	r.RequestDispatcher.Configure(now, v, a)
}
