package slo

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"pimentospread"
)

const (
	// The sizes of the charts are in pixels.
	barHeight  = 14
	chartWidth = 480
	labelWidth = 200
	// minScale is the lowest burn rate at the right edge of the charts.
	minScale = 2.0
)

// pageTemplate is the template of the page. The page loads no external resources.
const pageTemplate = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 0.2em 0.8em; text-align: right; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
.over { color: #a00; font-weight: bold; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{{.Report.At.UTC.Format "2006-01-02 15:04:05 MST"}}. Hosts: {{.Hosts}}.
{{if .Report.Missing}}<span class="over">Hosts without answer: {{.Missing}}.</span>{{end}}</p>
{{range .Services}}
<h2>{{.Burn.Service}}</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="Burn rates of {{.Burn.Service}}">
{{range .Bars}}<text x="0" y="{{.TextY}}" font-size="12">{{.Label}}</text>
<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" fill="{{.Color}}"><title>{{.Label}}: {{.Rate}}</title></rect>
{{end}}<line x1="{{.Limit}}" y1="0" x2="{{.Limit}}" y2="{{.Height}}" stroke="#333" stroke-dasharray="4"></line>
</svg>
<p>The dashed line is a burn rate of 1: the error budget is used up at the end of the window.</p>
<table>
<tr><th>Class</th><th>Objective</th><th>Good, 5 min</th><th>Total, 5 min</th><th>Burn, 5 min</th><th>Good, 1 h</th><th>Total, 1 h</th><th>Burn, 1 h</th><th>Budget left</th></tr>
{{range .Burn.Classes}}<tr><td>{{.Class}}</td><td>{{percent .Objective}}</td><td>{{.Short.Good}}</td><td>{{.Short.Total}}</td><td>{{printf "%.2f" .Short.Rate}}</td><td>{{.Long.Good}}</td><td>{{.Long.Total}}</td><td>{{printf "%.2f" .Long.Rate}}</td><td{{if lt .BudgetLeft 0.0}} class="over"{{end}}>{{budget .BudgetLeft}}</td></tr>
{{end}}</table>
{{with .Burn.Callers}}<p>Work delivered to each of {{.Callers}} callers{{if .Sampled}} (a random sample){{end}}, weighted by class:
least {{printf "%.0f" .Least}}, median {{printf "%.1f" .Median}}, most {{printf "%.0f" .Most}}; Jain's fairness index {{printf "%.4f" .Fairness}}.</p>{{end}}
{{end}}
</body>
</html>
`

// page is the data of pageTemplate.
type page struct {
	Report         Report
	Hosts, Missing string
	Services       []chart
}

// chart is the bar chart of a service's burn rates. All charts of a page have the same scale.
type chart struct {
	Burn          ServiceBurn
	Bars          []bar
	Width, Height int
	// Limit is the horizontal position of the burn rate of 1.
	Limit float64
}

type bar struct {
	Label, Color, Rate string
	X, Y, TextY        int
	Width              float64
	Height             int
}

// WriteHTML writes the report as one HTML page with inline charts.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("burn").Funcs(template.FuncMap{
		"percent": func(v pimentospread.Ratio) string { return fmt.Sprintf("%.2f%%", 100*float64(v)) },
		"budget":  func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	}).Parse(pageTemplate)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "template of the burn report is not valid"), "parse", "")
	}
	p := page{Report: r, Hosts: joinHosts(r.Hosts), Missing: joinHosts(r.Missing)}
	scale := r.chartScale()
	for _, s := range r.Services {
		p.Services = append(p.Services, newChart(s, scale))
	}
	var b strings.Builder
	if err := t.Execute(&b, p); err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot render burn report"), "render", "")
	}
	return writeString(w, b.String())
}

// chartScale returns the burn rate at the right edge of the charts.
func (r Report) chartScale() float64 {
	chartScale := minScale
	for _, s := range r.Services {
		for _, c := range s.Classes {
			chartScale = max(chartScale, c.Short.Rate, c.Long.Rate)
		}
	}
	return chartScale
}

func newChart(s ServiceBurn, scale float64) chart {
	c := chart{Burn: s, Width: labelWidth + chartWidth, Limit: labelWidth + chartWidth/scale}
	addBar := func(class pimentospread.Class, window time.Duration, rate float64, color string) {
		y := len(c.Bars) * (barHeight + 4)
		c.Bars = append(c.Bars, bar{
			Label: fmt.Sprintf("%s, %.0f min", class, window.Minutes()), Color: color, Rate: fmt.Sprintf("%.2f", rate),
			X: labelWidth, Y: y, TextY: y + barHeight - 3, Width: chartWidth * rate / scale, Height: barHeight,
		})
	}
	for _, v := range s.Classes {
		addBar(v.Class, ShortWindow, v.Short.Rate, "#e08030")
		addBar(v.Class, LongWindow, v.Long.Rate, "#3070b0")
	}
	c.Height = len(c.Bars) * (barHeight + 4)
	return c
}
