// Package owner lets HTTP handlers run functions in the duty that owns a state.
// The duty runs them one at a time, so the state needs no lock.
package owner

import (
	"context"

	"pimentospread"
	"pimentospread/ring"
)

// Queue holds the tasks that wait for the duty that owns a state of type S. A task
// is a function that the duty calls with its state.
type Queue[S any] struct{ tasks *ring.Ring[func(S)] }

// New returns a queue that holds up to capacity tasks and refuses further ones.
func New[S any](capacity int) *Queue[S] {
	return &Queue[S]{ring.New[func(S)](capacity, ring.Refuse)}
}

// Tasks returns the channel from which the owning duty receives tasks.
func (q *Queue[S]) Tasks() <-chan func(S) { return q.tasks.Items() }

// Run is the body of an owning duty without other work. It runs tasks until the context ends.
func (q *Queue[S]) Run(ctx context.Context, state S) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-q.tasks.Items():
			task(state)
		}
	}
}

// Do runs the task in the owning duty and returns its result. It fails if the
// queue is full, or if the context ends before the task has run.
func Do[S, R any](ctx context.Context, q *Queue[S], task func(S) R) (R, error) {
	var zero R
	result := make(chan R, 1)
	if err := q.tasks.Put(ctx, func(state S) { result <- task(state) }); err != nil {
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, pimentospread.At(pimentospread.ErrTimeout.Wrap(ctx.Err(), "no result from the owning duty"), "ask", "")
	}
}
