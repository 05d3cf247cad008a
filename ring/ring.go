// Package ring provides the bounded ring that joins duties. It is the only
// way in which duties exchange data.
package ring

import (
	"context"
	"sync/atomic"

	"pimentospread"
)

// Policy says what Put does when the ring is full.
type Policy uint8

// Policies of a full ring.
const (
	// Refuse returns an error at once.
	Refuse Policy = iota
	// DropOldest removes the oldest item to make room.
	DropOldest
	// Block blocks until there is room or the context ends.
	Block
)

// Ring is a bounded first-in, first-out queue for many producers and one consumer.
type Ring[T any] struct {
	items   chan T
	policy  Policy
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity), policy: policy}
}

// Put adds an item. When the ring is full it acts by the ring's policy, and
// every item that is refused or dropped is counted.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.policy {
	case Block:
		return r.putWaiting(ctx, item)
	case DropOldest:
		r.putDropping(item)
		return nil
	default:
		r.refused.Add(1)
		return pimentospread.At(pimentospread.ErrRefused.New("ring is full"), "put", "")
	}
}

func (r *Ring[T]) putWaiting(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return pimentospread.At(pimentospread.ErrClosed.Wrap(ctx.Err(), "context ended"), "put", "")
	}
}

func (r *Ring[T]) putDropping(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case <-r.items:
			r.refused.Add(1)
		default:
		}
	}
}

// Items returns the channel from which the one consumer receives.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Capacity returns the number of items that the ring can hold.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Refused returns how many items were refused or dropped since the start.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
