package slo

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/policy"
)

// TestMain fixes the seed and the number of checks, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func newTestRecorder(host pimentospread.HostID) *Recorder {
	r := NewRecorder(RecorderDeps{Host: host})
	r.Configure(start, []Service{{ID: 1, Name: "watchdesk", Classes: []policy.Class{
		{Name: "report", Weight: 10, Objective: 0.99}, {Name: "map", Objective: 0.9},
	}}})
	return r
}

// Guards against windows that forget too early, remember too long or lose
// counts when time jumps. A window covers its length less at most one bucket.
func TestWindowsCountWhatTheyCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := newTestRecorder("a"), start
		var ended []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			r.Record(now, 1, "report", 1, true)
			ended = append(ended, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Second)
		c := r.Report(now).Services[0].Classes[0]
		for length, got := range map[time.Duration]uint64{ShortWindow: c.Short.Total, LongWindow: c.Long.Total} {
			low, high := uint64(0), uint64(0)
			for _, e := range ended {
				if now.Sub(e) < length {
					high++
				}
				if now.Sub(e) < length-length/bucketsPerWindow {
					low++
				}
			}
			if got < low || got > high {
				t.Fatalf("window of %s counts %d, want %d to %d", length, got, low, high)
			}
		}
	})
}

// Guards against unbounded memory for callers, and against a sample whose
// work is not exact after hosts are merged.
func TestCallersAreBoundedAndExact(t *testing.T) {
	hosts := []*Recorder{newTestRecorder("a"), newTestRecorder("b")}
	for round := range 3 {
		for id := range pimentospread.CallerID(5000) {
			hosts[(int(id)+round)%2].Record(start, 1, "map", id, true)
		}
	}
	first, second := hosts[0].Report(start).Services[0].Callers, hosts[1].Report(start).Services[0].Callers
	merged := first.merge(second)
	if len(first.Work) > maxCallers || len(merged.Work) < maxCallers/2 {
		t.Errorf("a host keeps %d callers and %d after the merge, bound %d", len(first.Work), len(merged.Work), maxCallers)
	}
	want := CallerSummary{Callers: len(merged.Work), Sampled: true, Least: 3, Median: 3, Most: 3, Fairness: 1}
	if diff := cmp.Diff(want, merged.summary()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a merge that loses a host's counts, weights, or the name of a
// host that did not answer, also after a host report has gone through JSON.
func TestMergeAndTable(t *testing.T) {
	a, b := newTestRecorder("a"), newTestRecorder("b")
	for i := range 100 {
		a.Record(start, 1, "report", 1, i >= 2)
		b.Record(start, 1, "map", pimentospread.CallerID(2+i%2), i >= 5)
	}
	a.Record(start, 1, "unknown", 1, true)
	a.Record(start, 1, "map", 4, false)
	encoded, err := json.Marshal(a.Report(start.Add(time.Second)))
	if err != nil {
		t.Fatal(err)
	}
	var decoded HostReport
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	bad := HostReport{Host: "d", Services: []ServiceCounts{{Classes: []ClassCounts{{Objective: 0.9, Long: Count{Good: 2, Total: 1}}}}}}
	if ok, faults := decoded.Check("a"), bad.Check("d"); len(ok) != 0 || len(faults) != 1 || faults[0].Path != "d.Services[0].Classes[0].Long.Good" {
		t.Errorf("faults of a sound report: %v, of a broken one: %v", ok, faults)
	}
	merged := Merge([]pimentospread.HostID{"a", "b", "c"}, []HostReport{b.Report(start), decoded})
	var table, page, text strings.Builder
	for _, err := range []error{merged.WriteTable(&table), merged.WriteHTML(&page), merged.WriteJSON(&text)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	// Fairness: (980+47+48+0)^2 / (4 * (980^2+47^2+48^2)) = 0.2994.
	want := strings.Join([]string{
		"SERVICE    CLASS   OBJECTIVE  GOOD 5m  TOTAL 5m  BURN 5m  GOOD 1h  TOTAL 1h  BURN 1h  BUDGET LEFT",
		"watchdesk  report  99.00%     98       100       2.00     98       100       2.00     -100.0%",
		"watchdesk  map     90.00%     95       101       0.59     95       101       0.59     40.6%",
		"",
		"SERVICE    CALLERS  LEAST  MEDIAN  MOST  FAIRNESS",
		"watchdesk  4        0      47.5    980   0.2994",
		"",
		"Hosts: a, b",
		"Hosts without answer: c",
		"Requests of unknown services or classes: 1",
		"",
	}, "\n")
	if diff := cmp.Diff(want, table.String()); diff != "" {
		t.Error(diff)
	}
	for part, want := range map[string]bool{"Hosts without answer: c.": true, "report, 5 min: 2.00": true, "<svg ": true, `class="over">-100.0%`: true, "http": false, "src=": false, "href=": false} {
		if strings.Contains(page.String(), part) != want {
			t.Errorf("page has %q: %t, want %t", part, !want, want)
		}
	}
	var back Report
	if err := json.Unmarshal([]byte(text.String()), &back); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(merged, back); diff != "" {
		t.Error(diff)
	}
}
