package ring

import (
	"context"
)

// PriorityRing is a set of rings, one for each priority, with one consumer. Each
// ring has its own capacity, so a burst of one priority cannot displace items of
// another. Priority 0 is the highest.
type PriorityRing[T any] struct {
	rings []*Ring[T]
	ready chan struct{}
}

// NewPriorityRing returns a PriorityRing with one ring of the given capacity for
// each priority. A full ring refuses items.
func NewPriorityRing[T any](priorities, capacity int) *PriorityRing[T] {
	p := &PriorityRing[T]{ready: make(chan struct{}, 1)}
	for range priorities {
		p.rings = append(p.rings, New[T](capacity, Refuse))
	}
	return p
}

// Put adds an item to the ring of its priority. A priority out of range is
// treated as the lowest.
func (p *PriorityRing[T]) Put(ctx context.Context, priority int, item T) error {
	if priority < 0 || priority >= len(p.rings) {
		priority = len(p.rings) - 1
	}
	if err := p.rings[priority].Put(ctx, item); err != nil {
		return err
	}
	p.Notify()
	return nil
}

// Notify makes Ready receive once more. A consumer that stops before the rings
// are empty must call it.
func (p *PriorityRing[T]) Notify() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives after items were added. The consumer
// then calls Take until it returns false, or calls Notify.
func (p *PriorityRing[T]) Ready() <-chan struct{} { return p.ready }

// Take removes the oldest item of the highest priority. It does not wait and
// returns false when all rings are empty.
func (p *PriorityRing[T]) Take() (T, bool) {
	for _, r := range p.rings {
		select {
		case item := <-r.items:
			return item, true
		default:
		}
	}
	var none T
	return none, false
}

// Refused returns the number of items of the priority that were refused.
func (p *PriorityRing[T]) Refused(priority int) uint64 { return p.rings[priority].Refused() }

// Priorities returns the number of priorities.
func (p *PriorityRing[T]) Priorities() int { return len(p.rings) }
