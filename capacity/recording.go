package capacity

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"pimentospread"
)

// BenchmarkParser parses the output of benchmarks whose sub-benchmarks are named AXIS=SIZE.
type BenchmarkParser struct {
	// Package is the package path in the commands that repeat the benchmarks.
	Package string
	// RunCount is the number of runs in these commands.
	RunCount int
}

// seriesKey identifies a series.
type seriesKey struct {
	name Benchmark
	unit Metric
}

// series holds the values that the runs of a benchmark reported for one metric, by size.
type series struct {
	key    seriesKey
	axis   string
	values map[float64][]float64
}

// Parse returns the slopes that the benchmark output contains. Lines that are not
// results are skipped.
func (r BenchmarkParser) Parse(output io.Reader, machine string) (Slopes, error) {
	resultLine := regexp.MustCompile(`^Benchmark(\w+)/(\w+)=([0-9.]+)(?:-\d+)?\s+\d+\s+(.*)$`)
	all := map[seriesKey]*series{}
	s := bufio.NewScanner(output)
	for s.Scan() {
		m := resultLine.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return Slopes{}, newParseError(s.Text(), err)
		}
		fields := strings.Fields(m[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return Slopes{}, newParseError(s.Text(), err)
			}
			key := seriesKey{Benchmark(m[1]), Metric(fields[i+1])}
			if all[key] == nil {
				all[key] = &series{key: key, axis: m[2], values: map[float64][]float64{}}
			}
			all[key].values[size] = append(all[key].values[size], value)
		}
	}
	if err := s.Err(); err != nil {
		return Slopes{}, newParseError("", err)
	}
	return r.slopes(all, machine), nil
}

func newParseError(line string, err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot parse benchmark result %q", line), "read", "")
}

func (r BenchmarkParser) slopes(all map[seriesKey]*series, machine string) Slopes {
	s := Slopes{Machine: machine}
	for _, v := range all {
		s.Slopes = append(s.Slopes, Slope{
			Name: v.key.name, Unit: v.key.unit, Axis: v.axis, Points: v.points(),
			Command: fmt.Sprintf("go test -run '^$' -bench '^Benchmark%s$' -benchtime 1x -count %d %s", v.key.name, r.RunCount, r.Package),
		})
	}
	slices.SortFunc(s.Slopes, func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Unit, b.Unit))
	})
	return s
}

func (v *series) points() []Point {
	var points []Point
	for size, values := range v.values {
		slices.Sort(values)
		points = append(points, Point{
			Size: size, Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1], Runs: len(values),
		})
	}
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return points
}
