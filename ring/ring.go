// Package ring provides the bounded queues between duties. Duties exchange data
// only through them.
package ring

import (
	"context"
	"sync/atomic"

	"pimentospread"
)

// Policy determines what Put does when the ring is full.
type Policy uint8

// Policies for a full ring.
const (
	// Refuse makes Put return an error without waiting.
	Refuse Policy = iota
	// DropOldest makes Put discard the oldest item.
	DropOldest
	// Block makes Put wait until there is room or its context ends.
	Block
)

// Ring is a bounded FIFO queue for many producers and one consumer.
type Ring[T any] struct {
	items   chan T
	policy  Policy
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity), policy: policy}
}

// Put adds an item. When the ring is full, Put applies the ring's policy and
// counts each item that it refuses or drops.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.policy {
	case Block:
		return r.putBlocking(ctx, item)
	case DropOldest:
		r.putDroppingOldest(item)
		return nil
	default:
		r.refused.Add(1)
		return pimentospread.At(pimentospread.ErrRefused.New("ring is full"), "put", "")
	}
}

func (r *Ring[T]) putBlocking(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return pimentospread.At(pimentospread.ErrClosed.Wrap(ctx.Err(), "context ended while the ring was full"), "put", "")
	}
}

func (r *Ring[T]) putDroppingOldest(item T) {
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

// Items returns the channel from which the consumer receives.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Capacity returns the maximum number of queued items.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Refused returns the number of items refused or dropped since the ring was created.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
