package capacity

import (
	"fmt"
	"strings"

	"pimentospread"
)

// Section is the name of a generated section of the capacity page.
type Section string

// Sections returns the generated sections of the page by name.
func (m *Model) Sections() map[Section]string {
	return map[Section]string{
		"machine":  "Measured on: " + m.slopes.Machine + ".\n",
		"cell":     m.cellTable(),
		"roles":    m.roleTable(),
		"totals":   m.totalTable(),
		"events":   findingTable(m.Events()),
		"changes":  findingTable(m.ChangeSteps()),
		"platform": findingTable(m.PlatformCalls()),
		"misfits":  findingTable(m.ScalingLimits()),
		"slopes":   m.slopes.markdownTable(),
	}
}

func beginMarker(s Section) string { return "<!-- begin " + string(s) + " -->\n" }
func endMarker(s Section) string   { return "<!-- end " + string(s) + " -->\n" }

// Update returns the page with each generated section replaced. It returns an error
// if the page lacks the markers of a section.
func (m *Model) Update(page string) (string, error) {
	for section, text := range m.Sections() {
		updated, err := replaceSection(page, section, text)
		if err != nil {
			return "", err
		}
		page = updated
	}
	return page, nil
}

// replaceSection returns the page with the text of a generated section replaced.
func replaceSection(page string, section Section, text string) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker(section))
	_, after, ended := strings.Cut(rest, endMarker(section))
	if !found || !ended {
		return "", pimentospread.At(pimentospread.ErrInvalid.New("page has no begin and end markers of section %q", section), "update", "")
	}
	return before + beginMarker(section) + "\n" + text + "\n" + endMarker(section) + after, nil
}

// markdownTable returns rows as a Markdown table. The first row is the header.
func markdownTable(rows [][]string) string {
	var b strings.Builder
	for i, r := range rows {
		b.WriteString("| " + strings.Join(r, " | ") + " |\n")
		if i == 0 {
			b.WriteString(strings.Repeat("| --- ", len(r)) + "|\n")
		}
	}
	return b.String()
}

// formatQuantity formats a value with its unit.
func formatQuantity(v float64, u Unit) string {
	if u == UnitCount || v == 0 && u == "" {
		return formatNumber(v)
	}
	text := formatNumber(v)
	if strings.HasSuffix(text, " k") || strings.HasSuffix(text, " M") || strings.HasSuffix(text, " G") {
		return text + string(u)
	}
	return text + " " + string(u)
}

func findingTable(findings []Finding) string {
	rows := [][]string{{"What", "Value", "Limit", "Verdict", "How"}}
	for _, f := range findings {
		limit := ""
		if f.Limit > 0 {
			limit = formatQuantity(f.Limit, f.Unit)
		}
		rows = append(rows, []string{f.Subject, formatQuantity(f.Value, f.Unit), limit, f.Verdict(), f.Derivation})
	}
	return markdownTable(rows)
}

func (m *Model) cellTable() string {
	s, c := m.Size, m.Cell
	divided := func(total, divisor float64) string { return formatNumber(total) + " / " + formatNumber(divisor) }
	n := float64(c.Cells)
	return markdownTable([][]string{
		{"Quantity", "Each cell", "How"},
		{"Cells", formatNumber(n), divided(float64(s.Hosts), float64(c.Hosts)) + ", rounded up"},
		{"Hosts", formatNumber(float64(c.Hosts)), "section 6 of the design page"},
		{"Failure domains", formatNumber(float64(c.FailureDomains)), divided(float64(s.FailureDomains), float64(s.Regions)) + ": a cell lies in one region"},
		{"Addresses", formatNumber(c.Addresses), divided(float64(s.Addresses), n)},
		{"Targets", formatNumber(c.Targets), divided(float64(s.Targets), n)},
		{"Open flows", formatNumber(c.Flows), divided(s.Flows, n)},
		{"New flows a second", formatNumber(float64(c.NewFlows)), divided(float64(s.NewFlows), n)},
		{"Average life of a flow, s", formatNumber(c.Flows / float64(c.NewFlows)), "open flows / new flows a second"},
		{"Changes a day", formatNumber(float64(c.Changes)), divided(float64(s.Changes), n)},
		{"Restarts a day", formatNumber(float64(c.Restarts)), divided(float64(s.Restarts), n)},
		{"Host failures a day", formatNumber(float64(c.Failures)), divided(float64(s.HostFailures), n)},
	})
}

func (m *Model) roleTable() string {
	rows := [][]string{{"Role", "When", "State", "Messages/s", "Traffic", "Processor time", "Memory", "Mechanism", "Slopes"}}
	for _, r := range m.Roles() {
		rows = append(rows, []string{
			r.Name, string(r.When), r.State, formatNumber(float64(r.Messages)), formatQuantity(float64(r.Traffic), UnitBytesPerSecond),
			formatQuantity(percentPerCore*float64(r.CPU), UnitCorePercent), formatQuantity(float64(r.Memory), UnitBytes),
			r.Mechanism, joinNames(r.Slopes),
		})
	}
	return markdownTable(rows)
}

func joinNames(benchmarks []Benchmark) string {
	var names []string
	for _, benchmark := range benchmarks {
		names = append(names, string(benchmark))
	}
	return strings.Join(names, ", ")
}

func (m *Model) totalTable() string {
	var findings []Finding
	for _, when := range []Condition{Always, Claims, Drain, Spray, FailureDomainDown} {
		findings = append(findings, m.limitFindings(m.Total(when))...)
	}
	return findingTable(findings)
}

// markdownTable returns tables of the slopes with the range of their runs and of the
// commands that measure them.
func (s Slopes) markdownTable() string {
	rows := [][]string{{"Slope", "Unit", "Size: median (least to most)", "Per additional unit of size"}}
	commands := [][]string{{"Slope", "Command"}}
	for i, slope := range s.Slopes {
		var points []string
		for _, p := range slope.Points {
			text := fmt.Sprintf("%s: %s", formatNumber(p.Size), formatNumber(p.Median))
			if p.Min != p.Max {
				text += fmt.Sprintf(" (%s to %s)", formatNumber(p.Min), formatNumber(p.Max))
			}
			points = append(points, text)
		}
		rows = append(rows, []string{string(slope.Name), string(slope.Unit), slope.Axis + " " + strings.Join(points, "; "), formatNumber(slope.PerUnit())})
		if i == 0 || s.Slopes[i-1].Name != slope.Name {
			commands = append(commands, []string{string(slope.Name), "`" + slope.Command + "`"})
		}
	}
	return markdownTable(rows) + "\n" + markdownTable(commands)
}
