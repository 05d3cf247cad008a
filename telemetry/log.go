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
	// maxLinesPerSecond limits the log rate, because incoming packets can cause
	// log lines. Lines of level error are exempt.
	maxLinesPerSecond = 200
	// queueCapacity holds five seconds of lines at the maximum rate.
	queueCapacity = 5 * maxLinesPerSecond
	// batchDelay is the time for which lines are batched before they are written.
	// At 200 lines per second, a write per line would take more CPU time than
	// formatting the lines.
	batchDelay = 100 * time.Millisecond
	// maxBatchBytes limits the size of a batch.
	maxBatchBytes = 64 << 10
	// maxWriteBytes limits the size of a single write. POSIX guarantees atomic
	// writes to a pipe up to this size; a reader may see larger ones cut in the
	// middle of a line.
	maxWriteBytes = 4 << 10
)

// Log is an asynchronous logger: a duty of its own, Run, writes the lines. When the
// output stalls, lines are dropped and counted; callers never block.
type Log struct {
	*slog.Logger
	lines  *ring.Ring[[]byte]
	output io.Writer
	budget *lineBudget
}

// LogConfig configures a Log.
type LogConfig struct {
	// Output receives the formatted lines.
	Output io.Writer
	// Text selects the human-readable format instead of JSON.
	Text bool
	// Level is the lowest level that is logged.
	Level slog.Leveler
	// Generation, if set, returns the generation that is added to each line.
	Generation func() pimentospread.Generation
}

// NewLog returns a log. Lines are queued until Run writes them.
func NewLog(c LogConfig) *Log {
	l := &Log{lines: ring.New[[]byte](queueCapacity, ring.Refuse), output: c.Output, budget: &lineBudget{}}
	options := &slog.HandlerOptions{Level: c.Level, ReplaceAttr: withoutStack}
	var handler slog.Handler = slog.NewJSONHandler(lineWriter{l.lines}, options)
	if c.Text {
		handler = slog.NewTextHandler(lineWriter{l.lines}, options)
	}
	l.Logger = slog.New(&limitedHandler{Handler: handler, generation: c.Generation, budget: l.budget})
	return l
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() uint64 { return l.budget.dropped.Load() + l.lines.Refused() }

// Pending returns the number of queued lines.
func (l *Log) Pending() int { return l.lines.Len() }

// Run writes queued lines until the context ends, and then the remaining ones.
func (l *Log) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			for remaining := l.drain(batch[:0]); len(remaining) > 0; remaining = l.drain(batch[:0]) {
				l.write(remaining)
			}
			return nil
		case line := <-l.lines.Items():
			batch = append(batch[:0], line...)
		}
		waitForBatch(ctx)
		batch = l.drain(batch)
		l.write(batch)
	}
}

// waitForBatch waits for the batch delay or until the context ends.
func waitForBatch(ctx context.Context) {
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// drain appends queued lines to the batch until it is full or the queue is empty.
func (l *Log) drain(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-l.lines.Items():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// write writes the batch in chunks of whole lines.
func (l *Log) write(batch []byte) {
	for len(batch) > 0 {
		n := chunkLength(batch)
		if _, err := l.output.Write(batch[:n]); err != nil {
			// The failure cannot be logged here, so only the counter shows the loss.
			l.budget.dropped.Add(uint64(bytes.Count(batch[:n], []byte("\n"))))
		}
		batch = batch[n:]
	}
}

// chunkLength returns the length of the whole lines that fit into one write, or that of
// the first line if it is longer.
func chunkLength(batch []byte) int {
	if len(batch) <= maxWriteBytes {
		return len(batch)
	}
	if i := bytes.LastIndexByte(batch[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(batch, '\n'); i >= 0 {
		return i + 1
	}
	return len(batch)
}

// lineWriter queues lines. The slog handlers write one line per call.
type lineWriter struct{ lines *ring.Ring[[]byte] }

func (w lineWriter) Write(line []byte) (int, error) {
	// A full ring refuses the line and counts it, so the error can be ignored.
	_ = w.lines.Put(context.Background(), append([]byte(nil), line...))
	return len(line), nil
}

// limitedHandler adds the current generation to each line and limits the number
// of lines per second.
type limitedHandler struct {
	slog.Handler
	generation func() pimentospread.Generation
	budget     *lineBudget
}

// lineBudget counts the lines of the current second and those dropped.
type lineBudget struct {
	second  atomic.Int64
	lines   atomic.Int64
	dropped atomic.Uint64
}

// Handle writes the record unless the budget of its second is exhausted.
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

// WithAttrs returns a handler with the attributes and the same budget.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), generation: h.generation, budget: h.budget}
}

// WithGroup returns a handler with the group and the same budget.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), generation: h.generation, budget: h.budget}
}

// take uses one line of the budget and reports whether it was available.
func (b *lineBudget) take(second int64) bool {
	if b.second.Swap(second) != second {
		b.lines.Store(0)
	}
	return b.lines.Add(1) <= maxLinesPerSecond
}

// withoutStack formats errors as a single line. The text handler would also
// print the stack trace that errorx records.
func withoutStack(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, pimentospread.Text(err))
	}
	return a
}
