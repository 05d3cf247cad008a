// Package admission holds the limits under load: which requests wait at a
// host and in which order they run, and how many run at each target.
package admission

import (
	"time"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
)

// Service is what a queue and a limiter need to know of a service.
type Service struct {
	ID pimentospread.ServiceID
	// Classes are the rules of the service's policy.
	Classes []policy.Class
	// Targets are those of the service's pool. Services that share a pool have the same targets.
	Targets []pool.Target
	// ColdStart is the time in which a new target opens its slots one after the other.
	ColdStart time.Duration
}
