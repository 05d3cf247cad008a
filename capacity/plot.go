package capacity

import (
	"fmt"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	plotTiles  = 2
)

// plottedFigures are those that have a bound, in the order of the plots.
func plottedFigures() []SweepFigure {
	return []SweepFigure{"entry: processor %", "entry: memory MB", "entry: kB a second", "entry: connections"}
}

// WritePlots writes the growth of the figures that have a bound as an SVG image: the middle
// and the busiest host against the number of hosts, up to the projected size, on logarithmic
// axes.
func (s Sweep) WritePlots(w io.Writer) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: plotTiles, Cols: plotTiles, PadX: vg.Centimeter, PadY: vg.Centimeter}
	plots := make([][]*plot.Plot, plotTiles)
	for i, figure := range plottedFigures() {
		p, err := s.plot(figure)
		if err != nil {
			return err
		}
		plots[i/plotTiles] = append(plots[i/plotTiles], p)
	}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		for column, c := range canvases {
			plots[row][column].Draw(c)
		}
	}
	_, err := canvas.WriteTo(w)
	return err
}

// plot returns the plot of one figure.
func (s Sweep) plot(figure SweepFigure) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = strings.TrimPrefix(string(figure), "entry: ")
	p.X.Label.Text = "hosts"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	hosts := float64(ProjectedSize().Hosts)
	for _, r := range s.Rows {
		if r.Name != figure {
			continue
		}
		for i, values := range [][]float64{r.Middle, r.Busiest} {
			name := []string{"middle", "busiest"}[i]
			if err := s.addLine(p, i, fmt.Sprintf("%s, power %.2f", name, s.Power(values)), values, hosts); err != nil {
				return nil, err
			}
		}
	}
	bound, err := plotter.NewLine(plotter.XYs{{X: float64(s.Hosts[0]), Y: sweepLimits[figure]}, {X: hosts, Y: sweepLimits[figure]}})
	if err != nil {
		return nil, err
	}
	bound.Color, bound.Dashes = color.Gray{Y: 128}, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bound)
	p.Legend.Add("bound", bound)
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}

// addLine adds the measured values with points, and the line that they lead to.
func (s Sweep) addLine(p *plot.Plot, style int, name string, values []float64, hosts float64) error {
	var measured plotter.XYs
	for i, v := range values {
		measured = append(measured, plotter.XY{X: float64(s.Hosts[i]), Y: v})
	}
	line, points, err := plotter.NewLinePoints(measured)
	if err != nil {
		return err
	}
	last := measured[len(measured)-1]
	projected, err := plotter.NewLine(plotter.XYs{last, {X: hosts, Y: s.At(values, hosts)}})
	if err != nil {
		return err
	}
	for _, l := range []*plotter.Line{line, projected} {
		l.Color = plotutil.Color(style)
	}
	projected.Dashes = plotutil.Dashes(1)
	points.Color = plotutil.Color(style)
	p.Add(line, points, projected)
	p.Legend.Add(name, line, points)
	return nil
}
