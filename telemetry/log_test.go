package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"pimentospread/telemetry"
)

// stalledWriter blocks writes until it is released.
type stalledWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// Guards against callers that block on a stalled standard output, and against
// lines that are lost without being counted.
func TestLogDoesNotBlockOnStalledOutput(t *testing.T) {
	output := &stalledWriter{release: make(chan struct{})}
	l := telemetry.NewLog(telemetry.LogConfig{Output: output, Level: slog.LevelInfo})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	const lines = 5000
	for i := range lines {
		// Lines of level error are exempt from the limit per second.
		l.Error("line", "number", i)
	}
	close(output.release)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	written := strings.Count(output.text.String(), "\n")
	if dropped := int(l.Dropped()); written == 0 || dropped == 0 || written+dropped != lines {
		t.Errorf("%d lines written and %d dropped, want a sum of %d with some of both", written, dropped, lines)
	}
	for _, line := range strings.Split(strings.TrimSpace(output.text.String()), "\n") {
		if !json.Valid([]byte(line)) {
			t.Errorf("line %q is not valid JSON", line)
		}
	}
}

// writeRecorder records each write separately.
type writeRecorder struct{ writes [][]byte }

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against writes that are too long to be atomic on a pipe: a reader would
// see lines of several processes interleaved.
func TestWritesContainWholeLines(t *testing.T) {
	output := &writeRecorder{}
	l := telemetry.NewLog(telemetry.LogConfig{Output: output, Level: slog.LevelInfo})
	const lines = 180
	for range lines {
		l.Error("target added", "address", strings.Repeat("x", 300))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	const pipeBuffer = 4096 // PIPE_BUF on Linux
	written := 0
	for _, w := range output.writes {
		if len(w) > pipeBuffer || !bytes.HasSuffix(w, []byte("\n")) {
			t.Errorf("write of %d bytes ends with %q, want whole lines within the pipe buffer", len(w), w[len(w)-1])
		}
		written += bytes.Count(w, []byte("\n"))
	}
	if written != lines {
		t.Errorf("%d lines written, want %d", written, lines)
	}
}

// Guards against short lines that are interleaved with those of other processes because a
// line before them is too long to be written atomically.
func TestLongLineIsWrittenAlone(t *testing.T) {
	output := &writeRecorder{}
	l := telemetry.NewLog(telemetry.LogConfig{Output: output, Level: slog.LevelInfo})
	l.Error("long", "text", strings.Repeat("x", 8000))
	for range 10 {
		l.Error("short")
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for _, w := range output.writes {
		if lines := bytes.Count(w, []byte("\n")); len(w) > 4096 && lines != 1 {
			t.Errorf("write of %d bytes with %d lines, want the long line alone", len(w), lines)
		}
	}
}

// Guards against packets that flood the log.
func TestLogRateIsLimited(t *testing.T) {
	var output bytes.Buffer
	l := telemetry.NewLog(telemetry.LogConfig{Output: &output, Level: slog.LevelInfo})
	for range 2000 {
		l.Info("line")
	}
	// The loop may span two seconds.
	if dropped := l.Dropped(); dropped < 1000 {
		t.Errorf("%d of 2000 lines were dropped, want at least 1000", dropped)
	}
}

// Measures the cost of a line that the steering duty logs for a sampled flow.
func BenchmarkFlowLine(b *testing.B) {
	l := telemetry.NewLog(telemetry.LogConfig{Output: &bytes.Buffer{}, Level: slog.LevelInfo})
	b.ReportAllocs()
	for b.Loop() {
		l.LogAttrs(context.Background(), slog.LevelError, "flow", slog.String("flow", "100.64.0.7:4000>198.18.0.1:443"),
			slog.String("packet", "open"), slog.String("action", "forward"), slog.String("cause", "rank"),
			slog.Uint64("token", 0), slog.String("target", "i-7f3a91c2"), slog.String("address", "10.0.0.1:80"),
			slog.Uint64("configuration", 7), slog.Uint64("revision", 530), slog.Duration("age", 1), slog.Int("targets", 18))
	}
}
