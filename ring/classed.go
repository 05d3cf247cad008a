package ring

import (
	"context"
)

// PriorityRing is a set of rings, one for each rank of work, with one consumer. A
// flood in one rank cannot take the room of another. Rank 0 is taken first.
type PriorityRing[T any] struct {
	ranks []*Ring[T]
	ready chan struct{}
}

// NewPriorityRing returns a ring with the given number of ranks, each with the given capacity.
// A full rank refuses.
func NewPriorityRing[T any](ranks, capacity int) *PriorityRing[T] {
	c := &PriorityRing[T]{ready: make(chan struct{}, 1)}
	for range ranks {
		c.ranks = append(c.ranks, New[T](capacity, Refuse))
	}
	return c
}

// Put adds an item to the ring of its rank. A rank out of range counts as the last one.
func (c *PriorityRing[T]) Put(ctx context.Context, rank int, item T) error {
	if rank < 0 || rank >= len(c.ranks) {
		rank = len(c.ranks) - 1
	}
	if err := c.ranks[rank].Put(ctx, item); err != nil {
		return err
	}
	c.Notify()
	return nil
}

// Notify makes Ready receive once more. A consumer calls it that stops taking
// before the rings are empty.
func (c *PriorityRing[T]) Notify() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives after items were added. The consumer
// then calls Take until it reports false, or calls Wake.
func (c *PriorityRing[T]) Ready() <-chan struct{} { return c.ready }

// Take removes the next item, lowest rank first. It does not wait.
func (c *PriorityRing[T]) Take() (T, bool) {
	for _, r := range c.ranks {
		select {
		case item := <-r.items:
			return item, true
		default:
		}
	}
	var none T
	return none, false
}

// Refused returns how many items the rank has refused.
func (c *PriorityRing[T]) Refused(rank int) uint64 { return c.ranks[rank].Refused() }

// Priorities returns the number of ranks.
func (c *PriorityRing[T]) Priorities() int { return len(c.ranks) }
