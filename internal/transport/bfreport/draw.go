package bfreport

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	pageWidth  = 26 * vg.Centimeter
	pageHeight = 30 * vg.Centimeter
	padding    = 4 * vg.Millimeter
	// yAxisFactor is the ratio of the y axis to the highest value of a panel. It leaves the
	// upper part of the panel to the legend.
	yAxisFactor = 1.5
)

// Draw writes the series as an SVG image with one panel each for latency, outcomes and
// events.
func Draw(w io.Writer, s *Series) error {
	panels := []struct {
		title, unit string
		curves      map[string][]float64
	}{
		{"Latency by route, 99th percentile", "ms", s.Latency},
		{"Requests by outcome", "requests per second", s.Outcomes},
		{"Events by log message", "lines per second", s.Events},
	}
	canvas := vgsvg.New(pageWidth, pageHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding, PadY: padding}
	for row, p := range panels {
		panel, err := newPanel(p.title, p.unit, p.curves)
		if err != nil {
			return fmt.Errorf("bfreport: %s: %w", p.title, err)
		}
		panel.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("bfreport: write SVG: %w", err)
	}
	return nil
}

func newPanel(title, unit string, curves map[string][]float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, unit, "seconds since the first line"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range sortedNames(curves) {
		points := make(plotter.XYs, len(curves[name]))
		for x, y := range curves[name] {
			points[x] = plotter.XY{X: float64(x), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min = 0
	p.Y.Max = max(1, p.Y.Max*yAxisFactor)
	return p, nil
}
