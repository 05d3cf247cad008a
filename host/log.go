package host

import (
	"context"
	"log/slog"
	"sync/atomic"

	"pimentospread"
)

// linesPerSecond bounds the lines of one second, because packets can cause
// lines. Lines of level error always pass.
const linesPerSecond = 200

// limitedHandler adds the generation in force to each line and bounds the
// lines of a second.
type limitedHandler struct {
	slog.Handler
	generation func() pimentospread.Generation
	budget     *lineBudget
}

type lineBudget struct {
	second atomic.Int64
	lines  atomic.Int64
}

func newLimitedHandler(h slog.Handler, generation func() pimentospread.Generation) *limitedHandler {
	return &limitedHandler{Handler: h, generation: generation, budget: &lineBudget{}}
}

// Handle writes the line unless the second's budget is used up.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError && !h.budget.take(r.Time.Unix()) {
		return nil
	}
	r.AddAttrs(slog.Uint64("generation", uint64(h.generation())))
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that shares the budget.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), generation: h.generation, budget: h.budget}
}

// WithGroup returns a handler that shares the budget.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), generation: h.generation, budget: h.budget}
}

func (b *lineBudget) take(second int64) bool {
	if b.second.Swap(second) != second {
		b.lines.Store(0)
	}
	return b.lines.Add(1) <= linesPerSecond
}
