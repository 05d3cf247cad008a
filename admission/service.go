// Package admission limits the load that a host accepts and sends on. A Queue
// bounds and orders the requests that wait at the host, and a Limiter bounds
// the requests that the host runs at each target.
package admission

import (
	"time"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
)

// Service is the configuration of a service for a Queue and a Limiter.
type Service struct {
	ID pimentospread.ServiceID
	// Classes are the classes of the service's policy.
	Classes []policy.Class
	// Targets are the targets of the service's pool. Services that share a pool have the same targets.
	Targets []pool.Target
	// ColdStart is the time over which the slots of a new target open one by one.
	ColdStart time.Duration
}
