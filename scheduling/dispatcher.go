// Package scheduling combines the request dispatcher of package dataplane with the
// admission queue and the limiter. An entry host and the replay of a trace use the
// same combination, so that a replay makes the same decisions.
package scheduling

import (
	"math/rand/v2"
	"time"

	"pimentospread"
	"pimentospread/admission"
	"pimentospread/dataplane"
)

// DispatcherDeps are the dependencies of a Dispatcher.
type DispatcherDeps struct {
	Self        pimentospread.HostID
	Incarnation pimentospread.Incarnation
	Started     time.Time
	// Seed is the seed of the random choices. With the same seed and Incarnation, the
	// choices repeat.
	Seed    uint64
	Metrics pimentospread.Metrics
}

// Dispatcher is a request dispatcher with an admission queue and a limiter for placement.
type Dispatcher struct {
	*dataplane.RequestDispatcher
	queue   *admission.Queue
	limiter *admission.Limiter
}

// NewDispatcher returns a request dispatcher that has no view yet.
func NewDispatcher(deps DispatcherDeps) *Dispatcher {
	queue := admission.NewQueue(admission.QueueDeps{Metrics: deps.Metrics})
	limiter := admission.NewLimiter(admission.LimiterDeps{Metrics: deps.Metrics})
	return &Dispatcher{
		queue:   queue,
		limiter: limiter,
		RequestDispatcher: dataplane.NewRequestDispatcher(dataplane.RequestDispatcherDeps{
			Self: deps.Self, Incarnation: deps.Incarnation, Started: deps.Started,
			Admission: queue, Placement: limiter,
			Random: rand.New(rand.NewPCG(deps.Seed, uint64(deps.Incarnation))),
		}),
	}
}

// Configure applies a new view of the cell to the queue, the limiter and the dispatcher.
func (d *Dispatcher) Configure(now time.Time, v *dataplane.View, a *dataplane.RequestActions) {
	services := make([]admission.Service, 0, len(v.Services))
	for id, s := range v.Services {
		services = append(services, admission.Service{
			ID: id, Classes: s.Policy.Classes, Targets: s.Pool.Targets, ColdStart: s.Policy.ColdStart.Duration,
		})
	}
	live := make([]pimentospread.HostID, 0, len(v.LiveHosts))
	for _, candidate := range v.LiveHosts {
		live = append(live, candidate.ID)
	}
	d.queue.Configure(now, services, live, v.Self)
	d.limiter.Configure(now, services, live, v.Self)
	d.RequestDispatcher.Configure(now, v, a)
}
