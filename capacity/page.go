package capacity

import (
	"fmt"
	"strings"

	"pimentospread"
)

// Section names a generated part of the page.
type Section string

// Sections returns the generated parts of the page by their names.
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

// Update returns the page with each generated part replaced. It fails when the
// page lacks the marks of one.
func (m *Model) Update(page string) (string, error) {
	for name, text := range m.Sections() {
		before, rest, found := strings.Cut(page, beginMarker(name))
		_, after, ended := strings.Cut(rest, endMarker(name))
		if !found || !ended {
			return "", pimentospread.At(pimentospread.ErrInvalid.New("page has no marks of the section %q", name), "update", "")
		}
		page = before + beginMarker(name) + "\n" + text + "\n" + endMarker(name) + after
	}
	return page, nil
}

// markdownTable writes a Markdown markdownTable; the first row is the head.
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
	of := func(total, divisor float64) string { return formatNumber(total) + " / " + formatNumber(divisor) }
	n := float64(c.Cells)
	return markdownTable([][]string{
		{"Quantity", "Each cell", "How"},
		{"Cells", formatNumber(n), of(float64(s.Hosts), float64(c.Hosts)) + ", rounded up"},
		{"Hosts", formatNumber(float64(c.Hosts)), "section 6 of the design page"},
		{"Failure domains", formatNumber(float64(c.Domains)), of(float64(s.FailureDomains), float64(s.Regions)) + ": a cell lies in one region"},
		{"Addresses", formatNumber(c.Addresses), of(float64(s.Addresses), n)},
		{"Targets", formatNumber(c.Targets), of(float64(s.Targets), n)},
		{"Open flows", formatNumber(c.Flows), of(s.Flows, n)},
		{"New flows a second", formatNumber(float64(c.NewFlows)), of(float64(s.NewFlows), n)},
		{"Average life of a flow, s", formatNumber(c.Flows / float64(c.NewFlows)), "open flows / new flows a second"},
		{"Changes a day", formatNumber(float64(c.Changes)), of(float64(s.Changes), n)},
		{"Restarts a day", formatNumber(float64(c.Restarts)), of(float64(s.Restarts), n)},
		{"Host failures a day", formatNumber(float64(c.Failures)), of(float64(s.HostFailures), n)},
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

func joinNames(slopes []Benchmark) string {
	var all []string
	for _, s := range slopes {
		all = append(all, string(s))
	}
	return strings.Join(all, ", ")
}

func (m *Model) totalTable() string {
	var findings []Finding
	for _, when := range []Condition{Always, Claims, Drain, Spray, DomainDown} {
		findings = append(findings, m.limitFindings(m.Total(when))...)
	}
	return findingTable(findings)
}

// markdownTable lists each slope with the range of its runs.
func (s Slopes) markdownTable() string {
	rows := [][]string{{"Slope", "Unit", "Size: median (least to most)", "For each more unit of size"}}
	commands := [][]string{{"Slope", "Command"}}
	for i, v := range s.Slopes {
		var points []string
		for _, p := range v.Points {
			text := fmt.Sprintf("%s: %s", formatNumber(p.Size), formatNumber(p.Median))
			if p.Min != p.Max {
				text += fmt.Sprintf(" (%s to %s)", formatNumber(p.Min), formatNumber(p.Max))
			}
			points = append(points, text)
		}
		rows = append(rows, []string{string(v.Name), string(v.Unit), v.Axis + " " + strings.Join(points, "; "), formatNumber(v.PerUnit())})
		if i == 0 || s.Slopes[i-1].Name != v.Name {
			commands = append(commands, []string{string(v.Name), "`" + v.Command + "`"})
		}
	}
	return markdownTable(rows) + "\n" + markdownTable(commands)
}
