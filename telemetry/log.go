package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/ring"
)

const (
	// linesPerSecond bounds the lines of one second, because packets can cause
	// lines. Lines of level error always pass.
	linesPerSecond = 200
	// lineCapacity is five seconds of lines at the bound.
	lineCapacity = 5 * linesPerSecond
	// batchDelay gathers lines, so that a write carries many: at 200 lines a
	// second a write for each would take more processor time than making the lines.
	batchDelay = 100 * time.Millisecond
	// maxBatch bounds the bytes that are gathered at a time.
	maxBatch = 64 << 10
	// maxWrite bounds the bytes of one write. POSIX keeps a write to a pipe whole up
	// to this size; readers cut larger ones in the middle of a line.
	maxWrite = 4 << 10
)

// Log is a logger that writes lines in a duty of its own. When the output
// stalls, lines are dropped and counted, and nothing waits for them.
type Log struct {
	*slog.Logger
	lines  *ring.Ring[[]byte]
	output io.Writer
	budget *lineBudget
}

// LogConfig says how lines are written.
type LogConfig struct {
	Output io.Writer
	// Text writes lines for people instead of JSON.
	Text  bool
	Level slog.Leveler
	// Generation is added to each line where it is set.
	Generation func() pimentospread.Generation
}

// NewLog returns a log. Its lines are written once Run runs.
func NewLog(c LogConfig) *Log {
	l := &Log{lines: ring.New[[]byte](lineCapacity, ring.Refuse), output: c.Output, budget: &lineBudget{}}
	options := &slog.HandlerOptions{Level: c.Level, ReplaceAttr: withoutStack}
	var handler slog.Handler = slog.NewJSONHandler(lineWriter{l.lines}, options)
	if c.Text {
		handler = slog.NewTextHandler(lineWriter{l.lines}, options)
	}
	l.Logger = slog.New(&limitedHandler{Handler: handler, generation: c.Generation, budget: l.budget})
	return l
}

// Dropped returns how many lines were left out since the start.
func (l *Log) Dropped() uint64 { return l.budget.dropped.Load() + l.lines.Refused() }

// Pending returns how many lines are not yet written.
func (l *Log) Pending() int { return l.lines.Len() }

// Run writes the lines until the context ends, and then those that still wait.
func (l *Log) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			for waiting := l.gather(batch[:0]); len(waiting) > 0; waiting = l.gather(batch[:0]) {
				l.write(waiting)
			}
			return nil
		case line := <-l.lines.Items():
			batch = append(batch[:0], line...)
		}
		rest(ctx)
		batch = l.gather(batch)
		l.write(batch)
	}
}

// rest lets more lines come together.
func rest(ctx context.Context) {
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// gather appends the lines that wait.
func (l *Log) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line := <-l.lines.Items():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// write writes whole lines, as many as fit into one write.
func (l *Log) write(batch []byte) {
	for len(batch) > 0 {
		n := fitting(batch)
		if _, err := l.output.Write(batch[:n]); err != nil {
			// There is no other place to say so; the counter shows the loss.
			l.budget.dropped.Add(uint64(bytes.Count(batch[:n], []byte("\n"))))
		}
		batch = batch[n:]
	}
}

// fitting returns the length of the lines that fit into one write. A line that
// is longer than a write takes what follows with it.
func fitting(batch []byte) int {
	if len(batch) <= maxWrite {
		return len(batch)
	}
	if i := bytes.LastIndexByte(batch[:maxWrite], '\n'); i >= 0 {
		return i + 1
	}
	return len(batch)
}

// lineWriter puts each line into the ring. The handler writes one line a call.
type lineWriter struct{ lines *ring.Ring[[]byte] }

func (w lineWriter) Write(line []byte) (int, error) {
	// A full ring counts the line itself.
	_ = w.lines.Put(context.Background(), append([]byte(nil), line...))
	return len(line), nil
}

// limitedHandler adds the generation in force to each line and bounds the
// lines of a second.
type limitedHandler struct {
	slog.Handler
	generation func() pimentospread.Generation
	budget     *lineBudget
}

type lineBudget struct {
	second  atomic.Int64
	lines   atomic.Int64
	dropped atomic.Uint64
}

// Handle writes the line unless the second's budget is used up.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError && !h.budget.take(r.Time.Unix()) {
		h.budget.dropped.Add(1)
		return nil
	}
	if h.generation != nil {
		r.AddAttrs(slog.Uint64("generation", uint64(h.generation())))
	}
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

// withoutStack writes an error as one plain line. The text handler would print
// the stack that errorx keeps as well.
func withoutStack(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, pimentospread.Text(err))
	}
	return a
}
