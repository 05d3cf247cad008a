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

// TestMain sets the seed and the number of checks, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1_700_000_000, 0)

func newTestRecorder(host pimentospread.HostID) *Recorder {
	r := NewRecorder(RecorderDeps{Host: host})
	r.Configure(startTime, []Service{{ID: 1, Name: "watchdesk", Classes: []policy.Class{
		{Name: "report", Weight: 10, Objective: 0.99}, {Name: "map", Objective: 0.9},
	}}})
	return r
}

// Guards against windows that drop counts too early or too late, or lose counts
// when the time jumps. A window covers its length less at most one bucket.
func TestWindowsCountRequestsWithinTheirLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := newTestRecorder("a"), startTime
		var completedAt []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			r.Record(now, 1, "report", 1, true)
			completedAt = append(completedAt, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Second)
		counts := r.Report(now).Services[0].Classes[0]
		for length, got := range map[time.Duration]uint64{ShortWindow: counts.Short.Total, LongWindow: counts.Long.Total} {
			atLeast, atMost := uint64(0), uint64(0)
			for _, at := range completedAt {
				if now.Sub(at) < length {
					atMost++
				}
				if now.Sub(at) < length-length/bucketsPerWindow {
					atLeast++
				}
			}
			if got < atLeast || got > atMost {
				t.Fatalf("window of %s counts %d requests, want %d to %d", length, got, atLeast, atMost)
			}
		}
	})
}

// Guards against unbounded memory for callers, and against a sample of callers
// whose work is incomplete after the merge of several hosts.
func TestCallerSampleIsBoundedAndExact(t *testing.T) {
	recorders := []*Recorder{newTestRecorder("a"), newTestRecorder("b")}
	for round := range 3 {
		for id := range pimentospread.CallerID(5000) {
			recorders[(int(id)+round)%2].Record(startTime, 1, "map", id, true)
		}
	}
	first, second := recorders[0].Report(startTime).Services[0].Callers, recorders[1].Report(startTime).Services[0].Callers
	merged := first.merge(second)
	if len(first.Work) > maxCallers || len(merged.Work) < maxCallers/2 {
		t.Errorf("a host keeps %d callers and the merge %d, want at most %d and at least half of it", len(first.Work), len(merged.Work), maxCallers)
	}
	want := CallerSummary{Callers: len(merged.Work), Sampled: true, Least: 3, Median: 3, Most: 3, Fairness: 1}
	if diff := cmp.Diff(want, merged.summary()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a merge that loses the counts of a host, the weights of classes or
// the hosts that did not respond. One of the host reports is encoded and decoded
// as JSON first.
func TestMergeAndOutputFormats(t *testing.T) {
	a, b := newTestRecorder("a"), newTestRecorder("b")
	for i := range 100 {
		a.Record(startTime, 1, "report", 1, i >= 2)
		b.Record(startTime, 1, "map", pimentospread.CallerID(2+i%2), i >= 5)
	}
	a.Record(startTime, 1, "unknown", 1, true)
	a.Record(startTime, 1, "map", 4, false)
	encoded, err := json.Marshal(a.Report(startTime.Add(time.Second)))
	if err != nil {
		t.Fatal(err)
	}
	var decoded HostReport
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	invalid := HostReport{Host: "d", Services: []ServiceCounts{{Classes: []ClassCounts{{Objective: 0.9, Long: Count{Good: 2, Total: 1}}}}}}
	if ok, faults := decoded.Check("a"), invalid.Check("d"); len(ok) != 0 || len(faults) != 1 || faults[0].Path != "d.Services[0].Classes[0].Long.Good" {
		t.Errorf("faults of the valid report: %v, of the invalid report: %v, want none and one of the long window", ok, faults)
	}
	merged := Merge([]pimentospread.HostID{"a", "b", "c"}, []HostReport{b.Report(startTime), decoded})
	var table, page, encodedReport strings.Builder
	for _, err := range []error{merged.WriteTable(&table), merged.WriteHTML(&page), merged.WriteJSON(&encodedReport)} {
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
			t.Errorf("page contains %q: %t, want %t", part, !want, want)
		}
	}
	var decodedReport Report
	if err := json.Unmarshal([]byte(encodedReport.String()), &decodedReport); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(merged, decodedReport); diff != "" {
		t.Error(diff)
	}
}
