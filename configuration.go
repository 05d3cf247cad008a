package pimentospread

import (
	"net/netip"
	"time"
)

// ConfigurationVersion is the version of the operators' configuration. It increases
// with each change, by varying steps.
type ConfigurationVersion uint64

// Configuration holds the routes that operators apply together.
type Configuration struct {
	Version ConfigurationVersion
	Routes  []Route
	// IdleTimeout is how long a flow may be idle before its state may be dropped.
	IdleTimeout time.Duration
}

// RouteName is the name that an operator gives to a route.
type RouteName string

// Route maps the flows to one address to services.
type Route struct {
	Name    RouteName      `msgpack:"Name"`
	Address netip.AddrPort `msgpack:"Address"`
	// Services get new flows in proportion to their weight. There is at least one.
	Services []WeightedService `msgpack:"Services"`
	// Idempotent is set if the requests of the route may run more than once.
	Idempotent bool `msgpack:"Idempotent"`
	// Latency is the latency objective of a request.
	Latency time.Duration `msgpack:"Latency"`
	// Timeout is the maximum duration of a request.
	Timeout time.Duration `msgpack:"Timeout"`
}

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service ServiceName `msgpack:"Service"`
	Weight  Weight      `msgpack:"Weight"`
}

// Equal reports whether the routes are equal in every field.
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
