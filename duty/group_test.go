package duty_test

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/duty"
)

func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func failAtOnce(context.Context) error { return pimentospread.ErrRefused.New("broken") }

// Guards against a process that does not end because one of its duties waits for
// something that never comes.
func TestWaitForEndsInTime(t *testing.T) {
	g := duty.NewGroup(t.Context(), slog.New(slog.DiscardHandler))
	release := make(chan struct{})
	g.Go("ends", blockUntilDone)
	g.Go("hangs", func(context.Context) error { <-release; return nil })
	g.Stop()
	err := g.WaitFor(10 * time.Millisecond)
	if !errorx.IsOfType(err, pimentospread.ErrTimeout) || !strings.Contains(err.Error(), `["hangs"]`) {
		t.Errorf("error %v, want a timeout that names only the duty that hangs", err)
	}
	close(release)
	if err := g.WaitFor(time.Minute); err != nil {
		t.Errorf("error %v after all duties have ended, want none", err)
	}
}

// Guards against a planned stop being reported as a failure and against a
// duty's failure being lost, whatever cancels the parent context.
func TestWait(t *testing.T) {
	cancelledBySignal := func(parent context.Context) context.Context {
		ctx, cancel := context.WithCancelCause(parent)
		cancel(errors.New("terminated signal received"))
		return ctx
	}
	tests := map[string]struct {
		parent func(context.Context) context.Context
		run    func(g *duty.Group)
		want   *errorx.Type
	}{
		"parent ended by a signal": {cancelledBySignal, func(*duty.Group) {}, nil},
		"stopped":                  {func(c context.Context) context.Context { return c }, func(g *duty.Group) { g.Stop() }, nil},
		"first failure": {func(c context.Context) context.Context { return c }, func(g *duty.Group) {
			g.Go("first", failAtOnce)
			<-g.Context().Done()
			g.Go("late", func(context.Context) error { return errors.New("late") })
		}, pimentospread.ErrRefused},
		"failure after the stop": {cancelledBySignal, func(g *duty.Group) { g.Go("late", failAtOnce) }, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := duty.NewGroup(tt.parent(t.Context()), slog.New(slog.DiscardHandler))
			g.Go("waits", blockUntilDone)
			tt.run(g)
			err := g.Wait()
			if tt.want == nil && err != nil || tt.want != nil && !errorx.IsOfType(err, tt.want) {
				t.Fatalf("Wait returned %v, want %v", err, tt.want)
			}
			if err != nil && !strings.Contains(err.Error(), `duty "first" failed`) {
				t.Errorf("%v does not contain the name of the duty", err)
			}
		})
	}
}

// Guards against a nested group reporting a failure of its parent group as its own.
func TestWaitIgnoresFailuresOfParentGroup(t *testing.T) {
	outer := duty.NewGroup(t.Context(), slog.New(slog.DiscardHandler))
	inner := duty.NewGroup(outer.Context(), slog.New(slog.DiscardHandler))
	inner.Go("waits", blockUntilDone)
	outer.Go("fails", failAtOnce)
	if err := inner.Wait(); err != nil {
		t.Errorf("inner group returned %v, want nil", err)
	}
	if err := outer.Wait(); !errorx.IsOfType(err, pimentospread.ErrRefused) {
		t.Errorf("outer group returned %v, want a refused error", err)
	}
}
