package duty_test

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/duty"
)

func untilEnd(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func fails(context.Context) error { return pimentospread.ErrRefused.New("broken") }

// Guards against a planned stop that is reported as a failure, and against a
// failure that is lost, whatever ends the parent context.
func TestWait(t *testing.T) {
	signalled := func(parent context.Context) context.Context {
		ctx, cancel := context.WithCancelCause(parent)
		cancel(errors.New("terminated signal received"))
		return ctx
	}
	tests := map[string]struct {
		parent func(context.Context) context.Context
		run    func(g *duty.Group)
		want   *errorx.Type
	}{
		"parent ended by a signal": {signalled, func(*duty.Group) {}, nil},
		"stopped":                  {func(c context.Context) context.Context { return c }, func(g *duty.Group) { g.Stop() }, nil},
		"first failure": {func(c context.Context) context.Context { return c }, func(g *duty.Group) {
			g.Go("first", fails)
			<-g.Context().Done()
			g.Go("late", func(context.Context) error { return errors.New("late") })
		}, pimentospread.ErrRefused},
		"failure after the stop": {signalled, func(g *duty.Group) { g.Go("late", fails) }, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := duty.NewGroup(tt.parent(t.Context()), slog.New(slog.DiscardHandler))
			g.Go("waits", untilEnd)
			tt.run(g)
			err := g.Wait()
			if tt.want == nil && err != nil || tt.want != nil && !errorx.IsOfType(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if err != nil && !strings.Contains(err.Error(), `duty "first" failed`) {
				t.Errorf("%v does not name the duty", err)
			}
		})
	}
}

// Guards against a group that reports the failure of the group around it as its own.
func TestWaitLeavesOutFailuresOfTheParentGroup(t *testing.T) {
	outer := duty.NewGroup(t.Context(), slog.New(slog.DiscardHandler))
	inner := duty.NewGroup(outer.Context(), slog.New(slog.DiscardHandler))
	inner.Go("waits", untilEnd)
	outer.Go("fails", fails)
	if err := inner.Wait(); err != nil {
		t.Errorf("inner group: %v", err)
	}
	if err := outer.Wait(); !errorx.IsOfType(err, pimentospread.ErrRefused) {
		t.Errorf("outer group: %v", err)
	}
}
