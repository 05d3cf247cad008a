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
	// Services holds the services sorted by name.
	Services []Service
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
	// Priority orders routes when there is not enough room for all requests. Hosts of earlier
	// releases read a route as exactly the fields above, so it is encoded apart.
	Priority Priority `msgpack:"-"`
}

// Priority orders routes. Zero is the highest priority.
type Priority uint8

// Service holds what operators configure for all targets of a service.
type Service struct {
	Name ServiceName `msgpack:"Name"`
	// WarmupRate is how many new flows a second a cold target bears. Zero means that there is no
	// limit.
	WarmupRate float64 `msgpack:"WarmupRate"`
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration `msgpack:"Warmup"`
	// MaxConnections is the number of flows that a target holds. Zero means that it is unknown.
	MaxConnections Connections `msgpack:"MaxConnections"`
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
		r.Latency == o.Latency && r.Timeout == o.Timeout && r.Priority == o.Priority
}
