// Package duty starts and joins the long-running goroutines of a process.
package duty

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// Func is the body of a duty. It returns when its context ends.
type Func func(ctx context.Context) error

// Group runs duties under one context. The first duty that fails ends all of them.
type Group struct {
	log    *slog.Logger
	ctx    context.Context //nolint:containedctx // the group is the owner of the duties' context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// failure is the cause with which a duty ends its group. The cause of a parent
// context, such as the signal that signal.NotifyContext names, is none.
type failure struct {
	group *Group
	err   error
}

func (f failure) Error() string { return f.err.Error() }

// NewGroup returns a group whose duties end when ctx ends.
func NewGroup(ctx context.Context, log *slog.Logger) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{log: log, ctx: ctx, cancel: cancel}
}

// Go starts a duty under the given name.
func (g *Group) Go(name string, f Func) {
	g.wait.Go(func() {
		err := f(g.ctx)
		if err == nil || g.ctx.Err() != nil {
			return
		}
		g.log.Error("duty failed", "duty", name, "error", err)
		g.cancel(failure{g, pimentospread.At(errorx.Decorate(err, "duty %q failed", name), "duty", "")})
	})
}

// Context returns the context of the duties.
func (g *Group) Context() context.Context { return g.ctx }

// Stop ends all duties.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait joins all duties and returns the error of the first that failed. It
// returns nil when Stop or the parent context ended them.
func (g *Group) Wait() error {
	g.wait.Wait()
	var f failure
	if errors.As(context.Cause(g.ctx), &f) && f.group == g {
		return f.err
	}
	return nil
}
