package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"pimentospread"
)

// Benchmark names a benchmark without the word Benchmark.
type Benchmark string

// Metric is the unit in which a benchmark reports, such as "cpu-ns/table".
type Metric string

// Point is what the runs of a benchmark gave at one size.
type Point struct {
	Size   float64 `json:"Size"`
	Min    float64 `json:"Least"`
	Median float64 `json:"Median"`
	Max    float64 `json:"Most"`
	Runs   int     `json:"Runs"`
}

// Slope is one metric of a benchmark over the sizes at which it ran.
type Slope struct {
	Name Benchmark `json:"Name"`
	Unit Metric    `json:"Unit"`
	// Command repeats the measurement.
	Command string `json:"Command"`
	// Axis names what the size counts.
	Axis   string  `json:"Axis"`
	Points []Point `json:"Points"`
}

// Slopes are all measured slopes and the machine on which they were measured.
type Slopes struct {
	Machine string  `json:"Machine"`
	Slopes  []Slope `json:"Slopes"`
}

// DecodeSlopes reads measured slopes and refuses unknown fields.
func DecodeSlopes(data []byte) (Slopes, error) {
	var s Slopes
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Slopes{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "slopes are not valid"), "decode", "")
	}
	if faults := s.Check(); len(faults) > 0 {
		return Slopes{}, pimentospread.At(pimentospread.ErrInvalid.New("slopes are not sound: %s", faults[0]), "decode", "")
	}
	return s, nil
}

// Check returns the faults of the slopes.
func (s Slopes) Check() []pimentospread.Fault {
	var faults []pimentospread.Fault
	for i, v := range s.Slopes {
		path := fmt.Sprintf("Slopes[%d]", i)
		if v.Name == "" || v.Unit == "" || v.Command == "" {
			faults = append(faults, pimentospread.Faultf(path, "needs a name, a unit and a command"))
		}
		if len(v.Points) < 3 {
			faults = append(faults, pimentospread.Faultf(path+".Points", "%d sizes of %s are fewer than 3", len(v.Points), v.Name))
		}
		for j, p := range v.Points {
			at := fmt.Sprintf("%s.Points[%d]", path, j)
			if j > 0 && p.Size <= v.Points[j-1].Size {
				faults = append(faults, pimentospread.Faultf(at+".Size", "sizes do not rise"))
			}
			if p.Min > p.Median || p.Median > p.Max || p.Runs < 1 {
				faults = append(faults, pimentospread.Faultf(at, "values or runs are out of order"))
			}
		}
	}
	return faults
}

// find returns the slope of a metric.
func (s Slopes) find(name Benchmark, unit Metric) (Slope, bool) {
	i := slices.IndexFunc(s.Slopes, func(v Slope) bool { return v.Name == name && v.Unit == unit })
	if i < 0 {
		return Slope{}, false
	}
	return s.Slopes[i], true
}

// At returns the median at a size: the line between the two measured sizes
// around it, or the line through the two nearest ones outside of them.
func (s Slope) At(size float64) float64 {
	i := 1
	for i < len(s.Points)-1 && s.Points[i].Size < size {
		i++
	}
	a, b := s.Points[i-1], s.Points[i]
	return a.Median + (b.Median-a.Median)*(size-a.Size)/(b.Size-a.Size)
}

// PerUnit returns how much the median rises for one more unit of size, from the smallest to the largest.
func (s Slope) PerUnit() float64 {
	a, b := s.Points[0], s.Points[len(s.Points)-1]
	return (b.Median - a.Median) / (b.Size - a.Size)
}
