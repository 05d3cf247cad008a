package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/host"
	"pimentospread/replay"
	"pimentospread/trace"
)

// Replays the traces that were recorded on running hosts. Fails if a change of the
// data plane violates an invariant or changes a stored outcome.
func TestStoredTraces(t *testing.T) {
	outcomePaths, err := filepath.Glob("../traces/*/outcome.txt")
	if err != nil || len(outcomePaths) == 0 {
		t.Fatalf("no stored traces found in ../traces: %v", err)
	}
	for _, path := range outcomePaths {
		folder := filepath.Dir(path)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			outcome := replayTraces(t, folder)
			if outcome.ViolatesInvariant() {
				t.Error("the replay violates an invariant")
			}
			var got bytes.Buffer
			if err := outcome.Write(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func replayTraces(t *testing.T, folder string) replay.Outcome {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonl.gz"))
	if err != nil {
		t.Fatal(err)
	}
	var hosts [][]trace.Event
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		events, err := trace.Read(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		hosts = append(hosts, events)
	}
	outcome, err := replay.NewPlayer(host.MessageRegistry()).Play(trace.Merge(hosts...))
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}
