package pimentospread

import "context"

// Front receives the packets of callers in one kind of encapsulation and forwards
// them to targets. An entry host runs one front.
type Front interface {
	// Run serves until the context is cancelled, and then shuts down gracefully.
	Run(ctx context.Context) error
}
