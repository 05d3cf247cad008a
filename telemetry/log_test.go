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

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// Guards against a duty that waits for standard output, and against lines that
// are lost without being counted.
func TestStalledOutput(t *testing.T) {
	output := &stalled{release: make(chan struct{})}
	l := telemetry.NewLog(telemetry.LogConfig{Output: output, Level: slog.LevelInfo})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	const lines = 5000
	for i := range lines {
		// Lines of level error are not bounded by the second.
		l.Error("line", "number", i)
	}
	close(output.release)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	written := strings.Count(output.text.String(), "\n")
	if dropped := int(l.Dropped()); written == 0 || dropped == 0 || written+dropped != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
	for _, line := range strings.Split(strings.TrimSpace(output.text.String()), "\n") {
		if !json.Valid([]byte(line)) {
			t.Errorf("line %q is not JSON", line)
		}
	}
}

// writes keeps the writes apart.
type writes struct{ all [][]byte }

func (w *writes) Write(p []byte) (int, error) {
	w.all = append(w.all, bytes.Clone(p))
	return len(p), nil
}

// Guards against writes that a pipe does not keep whole, so that a reader joins
// half a line of one process with a line of another.
func TestWritesHoldWholeLines(t *testing.T) {
	output := &writes{}
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
	const pipeBuffer = 4096 // PIPE_BUF of Linux
	written := 0
	for _, w := range output.all {
		if len(w) > pipeBuffer || !bytes.HasSuffix(w, []byte("\n")) {
			t.Errorf("a write has %d bytes and ends with %q", len(w), w[len(w)-1])
		}
		written += bytes.Count(w, []byte("\n"))
	}
	if written != lines {
		t.Errorf("%d lines written, want %d", written, lines)
	}
}

// Guards against packets that fill the log.
func TestLinesOfASecondAreBounded(t *testing.T) {
	var output bytes.Buffer
	l := telemetry.NewLog(telemetry.LogConfig{Output: &output, Level: slog.LevelInfo})
	for range 2000 {
		l.Info("line")
	}
	// The loop may run over the end of a second.
	if dropped := l.Dropped(); dropped < 1000 {
		t.Errorf("%d of 2000 lines were dropped, want 1000 at least", dropped)
	}
}

// Measures a line as the steering duty writes it for a flow of the sample.
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
