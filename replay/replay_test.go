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

// Guards against a change of the deciders that breaks an invariant, or decides
// otherwise, in a situation that was recorded on running hosts.
func TestStoredTraces(t *testing.T) {
	outcomes, err := filepath.Glob("../traces/*/outcome.txt")
	if err != nil || len(outcomes) == 0 {
		t.Fatalf("no stored trace: %v", err)
	}
	for _, path := range outcomes {
		folder := filepath.Dir(path)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			outcome := play(t, folder)
			if outcome.ViolatesInvariant() {
				t.Error("an invariant does not hold")
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

func play(t *testing.T, folder string) replay.Outcome {
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
	outcome, err := replay.NewPlayer(host.Messages()).Play(trace.Merge(hosts...))
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}
