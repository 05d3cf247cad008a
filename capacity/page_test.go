package capacity_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/capacity"
)

func measuredModel(t *testing.T) *capacity.Model {
	t.Helper()
	data, err := os.ReadFile("slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := capacity.DecodeSlopes(data)
	if err != nil {
		t.Fatal(err)
	}
	m, err := capacity.NewModel(capacity.ProjectedSize(), slopes)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Fails if the figures of the page do not follow from the committed slopes. Run
// "go run ./cmd/capacity page" to update the page.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := measuredModel(t).Update(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("docs/CAPACITY.md is not current (-want +got):\n%s", diff)
	}
}

// Fails if the figures of the sweeps on the page, or their plots, do not follow from the
// committed ones. Run "go run ./cmd/capacity sweep ENTRY..." to update them.
func TestSweepsOfThePageAreCurrent(t *testing.T) {
	data, err := os.ReadFile("sweeps.json")
	if err != nil {
		t.Fatal(err)
	}
	sweeps, err := capacity.DecodeSweeps(data)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := capacity.UpdateSweeps(string(page), sweeps)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("docs/CAPACITY.md is not current (-want +got):\n%s", diff)
	}
	for _, s := range sweeps {
		var image strings.Builder
		if err := s.WritePlots(&image); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile("../docs/capacity-" + s.Site + ".svg")
		if err != nil {
			t.Fatal(err)
		}
		if image.String() != string(got) {
			t.Errorf("the plots of %s are not current", s.Site)
		}
	}
}

// Guards against figures that are assigned to another size or to another figure, and
// against growth that is computed from the wrong end.
func TestParseSweep(t *testing.T) {
	entry := `{"id":"ab12","cmd":"sweep","site":"s","head":"0123456789","digest":"` + strings.Join([]string{
		"seen: 3 new connections to servers for 9 requests",
		"day own/srv score worth served refused failed weakest part",
		"sweep-10    10/20    0.96  0.961  0.995   0.000  0.000  worst windows 0.98",
		"sweep-100   100/200  0.97  0.965  0.994   0.000  0.000  worst windows 0.98",
		"middle / busiest or longest, by own machines",
		"entry: processor %    1.0 / 2.0    1.0 / 20.0  1.0  2600",
		"config acked, ms      40.0 / 41    40.0 / 41   0.0  41",
	}, `\n`) + `"}`
	got, err := capacity.ParseSweep([]byte(entry))
	if err != nil {
		t.Fatal(err)
	}
	want := capacity.Sweep{
		Entry: "ab12", Commit: "0123456", Site: "s", Hosts: []int{10, 100},
		Days: []capacity.SweepDay{{Targets: 20, Served: 0.995, Worth: 0.961}, {Targets: 200, Served: 0.994, Worth: 0.965}},
		Rows: []capacity.SweepRow{
			{Name: "entry: processor %", Middle: []float64{1, 1}, Busiest: []float64{2, 20}},
			{Name: "config acked, ms", Middle: []float64{40, 40}, Busiest: []float64{41, 41}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("sweep (-want +got):\n%s", diff)
	}
	if at := got.At(got.Rows[0].Busiest, 1000); at < 199 || at > 201 {
		t.Errorf("20 at 100 hosts leads to %.1f at 1,000, want 200 at a power of 1", at)
	}
	for _, broken := range []string{`{"cmd":"score"}`, `{"cmd":"sweep","head":"0123456","digest":""}`, "no JSON"} {
		if _, err := capacity.ParseSweep([]byte(broken)); err == nil {
			t.Errorf("entry %s was accepted", broken)
		}
	}
}

// Guards against a slope that was measured in fewer runs than the page states.
func TestEachSlopeHasThreeRuns(t *testing.T) {
	data, err := os.ReadFile("slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := capacity.DecodeSlopes(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range slopes.Slopes {
		for _, p := range s.Points {
			if p.Runs < 3 {
				t.Errorf("%s at size %g has %d runs, want at least 3", s.Name, p.Size, p.Runs)
			}
		}
	}
}

// Guards against values that are assigned to the wrong size or unit.
func TestParseBenchmarkOutput(t *testing.T) {
	output := `goos: linux
BenchmarkTable/targets=160-10   1   7 B/table   30 cpu-ns/table
BenchmarkTable/targets=8-10     1   2 B/table   10 cpu-ns/table
BenchmarkTable/targets=8-10     1   2 B/table   14 cpu-ns/table
BenchmarkTable/targets=8-10     1   2 B/table   11 cpu-ns/table
PASS
`
	got, err := capacity.BenchmarkParser{Package: "./capacity", RunCount: 3}.Parse(strings.NewReader(output), "one core")
	if err != nil {
		t.Fatal(err)
	}
	command := "go test -run '^$' -bench '^BenchmarkTable$' -benchtime 1x -count 3 ./capacity"
	want := capacity.Slopes{Machine: "one core", Slopes: []capacity.Slope{
		{Name: "Table", Unit: "B/table", Command: command, Axis: "targets", Points: []capacity.Point{
			{Size: 8, Min: 2, Median: 2, Max: 2, Runs: 3}, {Size: 160, Min: 7, Median: 7, Max: 7, Runs: 1},
		}},
		{Name: "Table", Unit: "cpu-ns/table", Command: command, Axis: "targets", Points: []capacity.Point{
			{Size: 8, Min: 10, Median: 11, Max: 14, Runs: 3}, {Size: 160, Min: 30, Median: 30, Max: 30, Runs: 1},
		}},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("slopes differ (-want +got):\n%s", diff)
	}
	if len(got.Check()) == 0 {
		t.Error("a slope with two sizes passed the check")
	}
}

// The projected size is divided into cells of at most 16 hosts.
func ExampleSize_Cell() {
	c := capacity.ProjectedSize().Cell(16)
	fmt.Printf("%d cells of %d hosts in %d failure domains\n", c.Cells, c.Hosts, c.FailureDomains)
	fmt.Printf("%.0f addresses, %.0f targets, %.0f flows, %.0f new flows a second\n", c.Addresses, c.Targets, c.Flows, c.NewFlows)
	// Output:
	// 813 cells of 16 hosts in 3 failure domains
	// 21 addresses, 160 targets, 97171 flows, 1722 new flows a second
}

// The number of peers follows from the size of the cell, the rate of heartbeats from the slopes.
func ExampleModel_Roles() {
	data, err := os.ReadFile("slopes.json")
	if err != nil {
		panic(err)
	}
	slopes, err := capacity.DecodeSlopes(data)
	if err != nil {
		panic(err)
	}
	m, err := capacity.NewModel(capacity.ProjectedSize(), slopes)
	if err != nil {
		panic(err)
	}
	for _, r := range m.Roles() {
		if r.When == capacity.Always && r.Name == "Control duty" {
			fmt.Printf("%s: %.0f messages a second, %s\n", r.Name, r.Messages, r.Mechanism)
		}
	}
	// Output:
	// Control duty: 30 messages a second, heartbeat to each peer of the cell every 500 ms
}

// At interpolates between the adjacent sizes and extrapolates beyond the largest.
func ExampleSlope_At() {
	s := capacity.Slope{Points: []capacity.Point{{Size: 4, Median: 600}, {Size: 8, Median: 1400}, {Size: 16, Median: 3000}}}
	fmt.Printf("%.0f at 12, %.0f at 20, %.0f for each more\n", s.At(12), s.At(20), s.PerUnit())
	// Output:
	// 2200 at 12, 3800 at 20, 200 for each more
}
