// Package overload estimates from response times how busy each service is, and refuses new
// flows of a service that gets more work than its targets complete in time. It decides by
// what one host observes and exchanges no messages. It is pure: time is passed as an argument.
package overload

import (
	"math"
	"time"

	"pimentospread"
)

// Config sets when new flows are refused.
type Config struct {
	// Window is the period over which response times are compared. If it has fewer than
	// MinResponses, older ones are added up to MaxAge.
	Window, MaxAge time.Duration
	// MinResponses is how many responses a decision needs.
	MinResponses int
	// QueueingFactor is how many times the response time without load the quickest tenth of
	// the responses takes if requests wait at all targets.
	QueueingFactor float64
	// RejectedTolerance is the share of requests that targets may reject under overload. It keeps
	// their queues filled, so that no slot is idle. A rejected request costs a target nothing.
	RejectedTolerance pimentospread.Ratio
	// LateTolerance is the share of responses that may be late under overload.
	LateTolerance pimentospread.Ratio
	// Gain is by how much the admitted share falls in a second, relative to itself, for each unit
	// by which the share of rejected or late responses exceeds its tolerance.
	Gain float64
	// GrowthTime is the time in which the admitted share grows by a factor of e.
	GrowthTime time.Duration
	// MinShare is the share of each priority that is always admitted.
	MinShare pimentospread.Ratio
}

// DefaultConfig returns a configuration for hosts that see some tens of requests per second.
func DefaultConfig() Config {
	return Config{
		Window: 300 * time.Millisecond, MaxAge: time.Second, MinResponses: 16, QueueingFactor: 3,
		RejectedTolerance: 0.4, LateTolerance: 0.15,
		Gain: 2, GrowthTime: 350 * time.Millisecond, MinShare: 0.1,
	}
}

// Response is a response of a target to a request.
type Response struct {
	Service pimentospread.ServiceName
	// Latency is the latency objective of the request. Zero means that there is none.
	Latency time.Duration
	// Taken is the time from the request to the response.
	Taken time.Duration
}

// Request is the first packet of a new flow.
type Request struct {
	Service  pimentospread.ServiceName
	Priority pimentospread.Priority
	Flow     pimentospread.FlowID
	// Retransmissions is how often the packet was sent before.
	Retransmissions uint32
}

// Controller holds the estimate of each service. It is not safe for concurrent use.
type Controller struct {
	config   Config
	services map[pimentospread.ServiceName]*service
}

// New returns a controller that admits every flow until it has observed responses.
func New(c Config) *Controller {
	return &Controller{config: c, services: map[pimentospread.ServiceName]*service{}}
}

// Observe records a response. Responses whose time may include a delay at this host must be
// left out.
func (c *Controller) Observe(now time.Time, r Response) {
	s, ok := c.services[r.Service]
	if !ok {
		s = newService(now)
		c.services[r.Service] = s
	}
	s.advance(now, &c.config)
	s.responses.add(response{at: now, taken: r.Taken, late: r.Latency > 0 && r.Taken > r.Latency})
}

// Admits reports whether a new flow may be opened. A retransmitted SYN is always admitted,
// because the first one was admitted by this host or another.
func (c *Controller) Admits(now time.Time, r Request) bool {
	s, ok := c.services[r.Service]
	if !ok || r.Retransmissions > 0 {
		return true
	}
	s.advance(now, &c.config)
	s.demand.add(r.Priority)
	if s.level > refusalLevel {
		return true
	}
	share := s.demand.admitted(r.Priority, s.level, float64(c.config.MinShare))
	return share >= 1 || position(now, r.Flow) < share
}

// Pressure returns the queueing delay of the quickest tenth of the recent responses of the
// service, as a multiple of the response time without load.
func (c *Controller) Pressure(now time.Time, name pimentospread.ServiceName) float64 {
	s, ok := c.services[name]
	if !ok {
		return 0
	}
	s.advance(now, &c.config)
	return s.queueing
}

// Retain drops the estimates of all services that are not in the set.
func (c *Controller) Retain(keep func(pimentospread.ServiceName) bool) {
	for name := range c.services {
		if !keep(name) {
			delete(c.services, name)
		}
	}
}

// refusalLevel is the level from which flows are refused. A few responses that are late by
// chance lower the level of a host with little traffic by less.
const refusalLevel = 0.9

// slotLength is how long refusals hit the same flows.
const slotLength = time.Second

// position returns a number between 0 and 1 that depends on the flow and the time slot, so
// that refusals are spread over callers.
func position(now time.Time, flow pimentospread.FlowID) float64 {
	slot := uint64(now.UnixNano() / int64(slotLength))
	return float64(mix(uint64(flow)^mix(slot))) / math.MaxUint64
}

// mix spreads the bits of a hash. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
