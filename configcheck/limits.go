package configcheck

import (
	"time"

	"pimentospread"
)

const (
	// lastRetransmission is when a caller sends its second and last SYN retransmission; the
	// first follows after 200 ms.
	lastRetransmission = 600 * time.Millisecond
	// callerRetries is how often a caller repeats a request.
	callerRetries = 2
)

// checkTimeouts compares the latency objective and the timeout of each route. The retries fit
// if a caller whose last SYN retransmission was reset can still be served twice within the
// latency objective.
func (c *checker) checkTimeouts() {
	for i, r := range c.configuration.Routes {
		path := routePath(i)
		needed := lastRetransmission + callerRetries*r.Latency
		switch {
		case r.Timeout < 0 || r.Latency < 0:
		case r.Timeout == 0:
			c.omit(path+".Timeout", "the route has no timeout to compare its latency objective with")
		case r.Latency == 0:
			c.omit(path+".Latency", "the route has no latency objective to compare its timeout with")
		case r.Latency > r.Timeout:
			c.add(LatencyAboveTimeout, path+".Latency", "the latency objective %s is above the timeout %s", r.Latency, r.Timeout)
		case needed > r.Timeout:
			c.add(RetriesExceedTimeout, path+".Timeout", "%s leaves no time for two retries of %s after the SYN retransmissions at 200ms and 600ms, which takes %s",
				r.Timeout, r.Latency, needed)
		}
	}
}

// checkWarmups compares the warm-up rate of each service with the slots of its smallest
// target. A target whose requests take as long as the shortest latency objective finishes one
// request per slot in that time.
func (c *checker) checkWarmups() {
	latencies := c.shortestLatencies()
	for i, s := range c.configuration.Services {
		if s.WarmupRate <= 0 {
			continue
		}
		path := servicePath(i) + ".WarmupRate"
		slots, latency := c.supply[s.Name].fewestSlots, latencies[s.Name]
		switch {
		case slots == 0:
			c.omit(path, "the slots of the targets are not known")
		case latency == 0:
			c.omit(path, "no route to the service has a latency objective")
		case s.WarmupRate > float64(slots)/latency.Seconds():
			c.add(WarmupAboveSlots, path, "%g new flows per second exceed the %.3g that a target with %d slots finishes if each takes the latency objective %s",
				s.WarmupRate, float64(slots)/latency.Seconds(), slots, latency)
		}
	}
}

// shortestLatencies returns the shortest latency objective of any route to each service.
// Services without one are missing.
func (c *checker) shortestLatencies() map[pimentospread.ServiceName]time.Duration {
	shortest := map[pimentospread.ServiceName]time.Duration{}
	for _, r := range c.configuration.Routes {
		for _, s := range r.Services {
			if known, ok := shortest[s.Service]; r.Latency > 0 && (!ok || r.Latency < known) {
				shortest[s.Service] = r.Latency
			}
		}
	}
	return shortest
}

func (c *checker) checkDescriptors() {
	limited := false
	for i, s := range c.configuration.Services {
		limited = limited || s.MaxConnections > 0
		if c.Descriptors > 0 && uint64(s.MaxConnections) > uint64(c.Descriptors) {
			c.add(ConnectionsAboveDescriptors, servicePath(i)+".MaxConnections", "%d connections exceed the %d descriptors of a host", s.MaxConnections, c.Descriptors)
		}
	}
	if limited && c.Descriptors == 0 {
		c.omit("Connection limits", "the descriptors of a host were not given")
	}
}
