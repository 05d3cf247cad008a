package pimentospread

import "context"

// Front takes the packets of callers in one encapsulation and steers them. An
// entry host runs one.
type Front interface {
	// Run serves until the context ends, and then shuts down gracefully.
	Run(ctx context.Context) error
}
