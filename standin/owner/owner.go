// Package owner lets HTTP handlers ask the duty that owns a state. The duty
// runs each question between its other work, so the state needs no lock.
package owner

import (
	"context"

	"pimentospread"
	"pimentospread/ring"
)

// Queue carries questions to the duty that owns a state of type S.
type Queue[S any] struct{ questions *ring.Ring[func(S)] }

// New returns an owner with room for the given number of waiting questions.
func New[S any](capacity int) *Queue[S] {
	return &Queue[S]{ring.New[func(S)](capacity, ring.Refuse)}
}

// Tasks returns the channel from which the duty receives. It calls each function with its state.
func (o *Queue[S]) Tasks() <-chan func(S) { return o.questions.Items() }

// Run is the body of a duty that does nothing but answer questions.
func (o *Queue[S]) Run(ctx context.Context, state S) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-o.questions.Items():
			f(state)
		}
	}
}

// Do runs the question in the owning duty and returns its answer.
func Do[S, R any](ctx context.Context, o *Queue[S], question func(S) R) (R, error) {
	var none R
	answer := make(chan R, 1)
	if err := o.questions.Put(ctx, func(s S) { answer <- question(s) }); err != nil {
		return none, err
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return none, pimentospread.At(pimentospread.ErrTimeout.Wrap(ctx.Err(), "no answer"), "ask", "")
	}
}
