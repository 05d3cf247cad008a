// Package duty starts and joins the long-running goroutines of a process, its
// duties.
package duty

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// Func is the body of a duty. It must return when its context ends.
type Func func(ctx context.Context) error

// Group runs duties under one context. The first duty that fails cancels the
// context of all.
type Group struct {
	log    *slog.Logger
	ctx    context.Context //nolint:containedctx // the group owns the context of its duties
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
	// running counts the running duties by name.
	running sync.Map
}

// failure is the cancellation cause that a failed duty sets. It distinguishes a
// failure of this group from a cause set on the parent context, such as the
// signal that signal.NotifyContext reports.
type failure struct {
	group *Group
	err   error
}

func (f failure) Error() string { return f.err.Error() }

// NewGroup returns a group whose context is derived from ctx.
func NewGroup(ctx context.Context, log *slog.Logger) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{log: log, ctx: ctx, cancel: cancel}
}

// Go starts a duty. The name identifies it in logs and in the error of Wait.
func (g *Group) Go(name string, f Func) {
	counter, _ := g.running.LoadOrStore(name, &atomic.Int64{})
	running := counter.(*atomic.Int64)
	running.Add(1)
	g.wait.Go(func() {
		defer running.Add(-1)
		err := f(g.ctx)
		if err == nil || g.ctx.Err() != nil {
			return
		}
		g.log.Error("duty failed", "duty", name, "error", err)
		g.cancel(failure{g, pimentospread.At(errorx.Decorate(err, "duty %q failed", name), "duty", "")})
	})
}

// Context returns the context that the duties run under.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the context of all duties. It does not wait for them.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// WaitFor waits like Wait, but returns ErrTimeout with the names of the duties that are
// still running if they have not returned after d. It is for processes that must end in
// time whatever a duty waits for, such as a log that nobody reads.
func (g *Group) WaitFor(d time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case err := <-ended:
		return err
	case <-t.C:
	}
	var names []string
	g.running.Range(func(name, counter any) bool {
		if counter.(*atomic.Int64).Load() > 0 {
			names = append(names, name.(string))
		}
		return true
	})
	slices.Sort(names)
	return pimentospread.At(pimentospread.ErrTimeout.New("duties %q did not end within %s", names, d), "stop", "")
}

// Wait blocks until all duties have returned and returns the error of the first
// that failed. It returns nil when Stop or the parent context ended them.
func (g *Group) Wait() error {
	g.wait.Wait()
	var f failure
	if errors.As(context.Cause(g.ctx), &f) && f.group == g {
		return f.err
	}
	return nil
}
