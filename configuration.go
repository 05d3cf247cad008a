package pimentospread

import (
	"net/netip"
	"time"
)

// ConfigurationVersion numbers the operators' configurations. It only rises, by irregular steps.
type ConfigurationVersion uint64

// Configuration is what operators put in force at once: which address leads to which service.
type Configuration struct {
	Version ConfigurationVersion
	Routes  []Route
	// IdleTimeout is how long a flow may be silent before it may be forgotten.
	IdleTimeout time.Duration
}

// RouteName is the operator's name of a route.
type RouteName string

// Route leads the flows to one address to services.
type Route struct {
	Name    RouteName      `msgpack:"Name"`
	Address netip.AddrPort `msgpack:"Address"`
	// Services take new flows by weight. There is at least one.
	Services []WeightedService `msgpack:"Services"`
	// Idempotent says that the requests of the route may run more than once.
	Idempotent bool `msgpack:"Idempotent"`
	// Latency is the latency objective of a request.
	Latency time.Duration `msgpack:"Latency"`
	// Timeout bounds a request.
	Timeout time.Duration `msgpack:"Timeout"`
}

// WeightedService is a service with its share of the new flows of a route.
type WeightedService struct {
	Service ServiceName `msgpack:"Service"`
	Weight  Weight      `msgpack:"Weight"`
}

// Equal reports whether the routes are the same in every field.
func (r Route) Equal(o Route) bool {
	if len(r.Services) != len(o.Services) {
		return false
	}
	for i, s := range r.Services {
		if s != o.Services[i] {
			return false
		}
	}
	return r.Name == o.Name && r.Address == o.Address && r.Idempotent == o.Idempotent &&
		r.Latency == o.Latency && r.Timeout == o.Timeout
}
