package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"pimentospread"
)

// Benchmark is the name of a benchmark function without the prefix "Benchmark".
type Benchmark string

// Metric is the unit of a value that a benchmark reports, such as "cpu-ns/table".
type Metric string

// Point summarizes the values that the runs of a benchmark reported at one size.
type Point struct {
	Size   float64 `json:"Size"`
	Min    float64 `json:"Least"`
	Median float64 `json:"Median"`
	Max    float64 `json:"Most"`
	Runs   int     `json:"Runs"`
}

// Slope is a metric of a benchmark as a function of the size.
type Slope struct {
	Name Benchmark `json:"Name"`
	Unit Metric    `json:"Unit"`
	// Command is the command that repeats the measurement.
	Command string `json:"Command"`
	// Axis names the quantity that the size counts, such as "targets".
	Axis   string  `json:"Axis"`
	Points []Point `json:"Points"`
}

// Slopes holds all measured slopes and describes the machine of the measurement.
type Slopes struct {
	Machine string  `json:"Machine"`
	Slopes  []Slope `json:"Slopes"`
}

// DecodeSlopes decodes and checks measured slopes. It rejects unknown fields.
func DecodeSlopes(data []byte) (Slopes, error) {
	var s Slopes
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Slopes{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot decode slopes"), "decode", "")
	}
	if faults := s.Check(); len(faults) > 0 {
		return Slopes{}, pimentospread.At(pimentospread.ErrInvalid.New("slopes are not valid: %s", faults[0]), "decode", "")
	}
	return s, nil
}

// Check returns the faults of the slopes.
func (s Slopes) Check() []pimentospread.Fault {
	var faults []pimentospread.Fault
	for i, slope := range s.Slopes {
		path := fmt.Sprintf("Slopes[%d]", i)
		if slope.Name == "" || slope.Unit == "" || slope.Command == "" {
			faults = append(faults, pimentospread.Faultf(path, "requires a name, a unit and a command"))
		}
		if len(slope.Points) < 3 {
			faults = append(faults, pimentospread.Faultf(path+".Points", "%d sizes of %s, want at least 3", len(slope.Points), slope.Name))
		}
		for j, p := range slope.Points {
			pointPath := fmt.Sprintf("%s.Points[%d]", path, j)
			if j > 0 && p.Size <= slope.Points[j-1].Size {
				faults = append(faults, pimentospread.Faultf(pointPath+".Size", "sizes are not ascending"))
			}
			if p.Min > p.Median || p.Median > p.Max || p.Runs < 1 {
				faults = append(faults, pimentospread.Faultf(pointPath, "values are not ascending or there are no runs"))
			}
		}
	}
	return faults
}

// find returns the slope of a metric and whether it exists.
func (s Slopes) find(name Benchmark, unit Metric) (Slope, bool) {
	i := slices.IndexFunc(s.Slopes, func(v Slope) bool { return v.Name == name && v.Unit == unit })
	if i < 0 {
		return Slope{}, false
	}
	return s.Slopes[i], true
}

// At returns the median at a size, interpolated between the two adjacent measured
// sizes. Outside the measured range it extrapolates from the two nearest sizes.
func (s Slope) At(size float64) float64 {
	i := 1
	for i < len(s.Points)-1 && s.Points[i].Size < size {
		i++
	}
	a, b := s.Points[i-1], s.Points[i]
	return a.Median + (b.Median-a.Median)*(size-a.Size)/(b.Size-a.Size)
}

// PerUnit returns the average increase of the median per unit of size over the
// measured range.
func (s Slope) PerUnit() float64 {
	a, b := s.Points[0], s.Points[len(s.Points)-1]
	return (b.Median - a.Median) / (b.Size - a.Size)
}
