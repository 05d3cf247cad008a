package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"pimentospread"
)

// Sweep holds the figures of one day at several numbers of hosts, as a journal entry of
// "fleetbench sweep" gives them.
type Sweep struct {
	// Entry is the ID of the journal entry, and Commit the version that was played.
	Entry  string `json:"Entry"`
	Commit string `json:"Commit"`
	Site   string `json:"Site"`
	// Hosts are the numbers of hosts, in ascending order.
	Hosts []int      `json:"Hosts"`
	Rows  []SweepRow `json:"Rows"`
	// Days holds the share of requests that were served and their worth at each size.
	Days []SweepDay `json:"Days"`
}

// SweepRow is one figure of all hosts: of the middle one and of the busiest.
type SweepRow struct {
	Name    SweepFigure `json:"Name"`
	Middle  []float64   `json:"Middle"`
	Busiest []float64   `json:"Busiest"`
}

// SweepDay is what callers got at one size.
type SweepDay struct {
	Targets int                 `json:"Targets"`
	Served  pimentospread.Ratio `json:"Served"`
	Worth   pimentospread.Ratio `json:"Worth"`
}

// SweepFigure is the name of a figure in the journal.
type SweepFigure string

// sweepLimits are the bounds of the figures at the size of two years from now. The data path
// is part of the measured bytes, and their bound is for control alone. Of 4,100 descriptors
// the platform reserves 200 for files.
var sweepLimits = map[SweepFigure]float64{
	"entry: processor %": 2.8, "entry: memory MB": 256, "entry: kB a second": 11, "entry: connections": 3900,
}

var (
	sweepRowPattern = regexp.MustCompile(`^(\S.*?)((?:\s+[\d.]+ / [\d.]+)+)\s+-?[\d.]+\s+\S+$`)
	sweepDayPattern = regexp.MustCompile(`^sweep-\d+\s+(\d+)/(\d+)\s+\S+\s+([\d.]+)\s+([\d.]+)`)
)

// ParseSweep reads the figures of a sweep from its journal entry.
func ParseSweep(entry []byte) (Sweep, error) {
	var e struct {
		ID     string `json:"id"`
		Cmd    string `json:"cmd"`
		Site   string `json:"site"`
		Head   string `json:"head"`
		Digest string `json:"digest"`
	}
	if err := json.Unmarshal(entry, &e); err != nil {
		return Sweep{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "not a journal entry"), "decode", "")
	}
	if e.Cmd != "sweep" {
		return Sweep{}, pimentospread.At(pimentospread.ErrInvalid.New("journal entry %s is of %q, want a sweep", e.ID, e.Cmd), "decode", "")
	}
	s := Sweep{Entry: e.ID, Site: e.Site, Commit: e.Head[:min(7, len(e.Head))]}
	for line := range strings.Lines(e.Digest) {
		line = strings.TrimSpace(line)
		if m := sweepDayPattern.FindStringSubmatch(line); m != nil {
			numbers := parseNumbers(m[1:])
			s.Hosts = append(s.Hosts, int(numbers[0]))
			s.Days = append(s.Days, SweepDay{int(numbers[1]), pimentospread.Ratio(numbers[3]), pimentospread.Ratio(numbers[2])})
		}
		if m := sweepRowPattern.FindStringSubmatch(line); m != nil {
			row := SweepRow{Name: SweepFigure(m[1])}
			numbers := parseNumbers(strings.Fields(strings.ReplaceAll(m[2], "/", " ")))
			for pair := range slices.Chunk(numbers, 2) {
				row.Middle, row.Busiest = append(row.Middle, pair[0]), append(row.Busiest, pair[1])
			}
			s.Rows = append(s.Rows, row)
		}
	}
	return s, s.check()
}

// parseNumbers converts texts that a pattern has matched as numbers.
func parseNumbers(texts []string) []float64 {
	numbers := make([]float64, len(texts))
	for i, text := range texts {
		numbers[i], _ = strconv.ParseFloat(text, 64)
	}
	return numbers
}

// check returns an error if a row lacks a size, so that no figure is assigned to another one.
func (s Sweep) check() error {
	if len(s.Hosts) < 2 || len(s.Rows) == 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("journal entry %s has %d sizes and %d figures, want two sizes and one figure at least", s.Entry, len(s.Hosts), len(s.Rows)), "decode", "")
	}
	for _, r := range s.Rows {
		if len(r.Busiest) != len(s.Hosts) {
			return pimentospread.At(pimentospread.ErrInvalid.New("figure %q has %d values for %d sizes", r.Name, len(r.Busiest), len(s.Hosts)), "decode", "")
		}
	}
	return nil
}

// DecodeSweeps decodes and checks sweeps that were kept. It rejects unknown fields.
func DecodeSweeps(data []byte) ([]Sweep, error) {
	var sweeps []Sweep
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&sweeps); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot decode sweeps"), "decode", "")
	}
	for _, s := range sweeps {
		if err := s.check(); err != nil {
			return nil, err
		}
	}
	return sweeps, nil
}

// Power returns the exponent with which values grow with the number of hosts: the slope of
// the line of least squares through their logarithms.
func (s Sweep) Power(values []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(values))
	for i, v := range values {
		x, y := math.Log(float64(s.Hosts[i])), math.Log(max(v, 1e-3))
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// At returns the value that the growth of values leads to at a number of hosts.
func (s Sweep) At(values []float64, hosts float64) float64 {
	last := len(values) - 1
	return values[last] * math.Pow(hosts/float64(s.Hosts[last]), s.Power(values))
}

// markdownTable returns the figures, their growth and what it leads to at the projected size.
func (s Sweep) markdownTable(hosts float64) string {
	header := []string{s.Site}
	served := []string{"served / worth"}
	for i, n := range s.Hosts {
		header = append(header, fmt.Sprintf("%d hosts, %d targets", n, s.Days[i].Targets))
		served = append(served, fmt.Sprintf("%.3f / %.3f", s.Days[i].Served, s.Days[i].Worth))
	}
	rows := [][]string{append(header, "power", fmt.Sprintf("at %.0f", hosts), "bound"), append(served, "", "", "")}
	for _, r := range s.Rows {
		row := []string{strings.TrimPrefix(string(r.Name), "entry: ")}
		for i := range s.Hosts {
			row = append(row, fmt.Sprintf("%s / %s", formatNumber(r.Middle[i]), formatNumber(r.Busiest[i])))
		}
		bound := ""
		if limit, ok := sweepLimits[r.Name]; ok {
			bound = formatNumber(limit)
		}
		rows = append(rows, append(row,
			fmt.Sprintf("%.2f / %.2f", s.Power(r.Middle), s.Power(r.Busiest)),
			fmt.Sprintf("%s / %s", formatNumber(s.At(r.Middle, hosts)), formatNumber(s.At(r.Busiest, hosts))), bound))
	}
	return fmt.Sprintf("Journal entry %s, played on %s. The middle host / the busiest one.\n\n", s.Entry, s.Commit) + markdownTable(rows)
}

// UpdateSweeps returns the page with the figures of the sweeps replaced.
func UpdateSweeps(page string, sweeps []Sweep) (string, error) {
	hosts := float64(ProjectedSize().Hosts)
	var tables []string
	for _, s := range sweeps {
		tables = append(tables, s.markdownTable(hosts))
	}
	return replaceSection(page, "sweeps", strings.Join(tables, "\n"))
}
