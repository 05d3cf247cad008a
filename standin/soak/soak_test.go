package soak_test

import (
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread/standin/soak"
)

// TestShortSoak runs hosts as processes under faults. It guards against flows
// that move or are reset while their target lives, requests that run twice,
// answers that are mixed up, processes that end by themselves and configurations
// that go back. Bounds in time are left to the runs by hand, since the machine
// may be busy.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pimentospread")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "pimentospread/cmd/pimentospread")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	// The kinds of faults that were there when the seeds below them were found.
	early := []string{
		"kill", "stop", "reload", "pause", "link", "links", "outage", "slow", "deaf", "silence", "lost answers",
		"compaction", "crash", "release", "configuration", "storm",
	}
	linked := append(slices.Clone(early), "peer link", "peer links", "late writes", "late events", "few calls")
	tests := map[string]soak.Config{
		"many kinds of faults": {Seed: 7, Length: 8 * time.Second, Hosts: 4, Callers: 12, Faults: early},
		"a platform that is late and refuses calls": {
			Seed: 3, Length: 6 * time.Second, Hosts: 4, Callers: 12,
			Faults: []string{"late writes", "late events", "few calls", "kill", "configuration", "release"},
		},
		// A host that woke took a SYN and its copy in a row, doubted the target and
		// opened the flow at a second one.
		"copy behind its SYN after a pause": {Seed: 1185, Length: 3 * time.Second, Hosts: 5, Callers: 24, Faults: early},
		// A stop woke a paused host before the end of its pause, and the host sent on
		// a SYN that had waited. The soak allowed for that only after the pause's end.
		"stop of a paused host": {Seed: 601092, Length: 7 * time.Second, Hosts: 5, Callers: 24, Faults: linked},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			c.Program, c.Dir = program, t.TempDir()
			o, err := soak.Run(t.Context(), c)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]string{}, o.Violations); diff != "" || o.Requests == 0 {
				t.Errorf("%d requests were answered; broken promises: %s", o.Requests, diff)
			}
		})
	}
}
