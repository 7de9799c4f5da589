package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // Registers the SVG format.
)

const (
	// plotRows bounds the rows of a plot to those that burn fastest.
	plotRows    = 12
	plotWidth   = 24 * vg.Centimeter
	barWidth    = vg.Length(5)
	rowHeight   = vg.Length(34)
	plotMargin  = vg.Length(80)
	maxPlotRate = 100
	// legendRoom widens the axis, so that no bar reaches under the legend.
	legendRoom = 1.15
)

var windowColors = []color.Color{
	color.RGBA{R: 178, G: 24, B: 43, A: 255},
	color.RGBA{R: 239, G: 138, B: 98, A: 255},
	color.RGBA{R: 103, G: 169, B: 207, A: 255},
	color.RGBA{R: 33, G: 102, B: 172, A: 255},
}

// plotted returns the rows that burn fastest, the fastest first.
func plotted(r Report) []Row {
	rows := slices.Clone(r.Rows)
	slices.SortStableFunc(rows, func(a, b Row) int {
		switch x, y := highest(a), highest(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return rows[:min(len(rows), plotRows)]
}

func highest(row Row) float64 {
	rate := 0.0
	for _, w := range row.Windows {
		rate = max(rate, w.BurnRate)
	}
	return rate
}

// burnPlot draws the burn rates of the fastest rows, one bar a window, as SVG.
func burnPlot(r Report) (template.HTML, error) {
	rows := plotted(r)
	p := plot.New()
	p.Title.Text = "Burn rate (1 uses the budget up over the window)"
	p.X.Min = 0
	for _, style := range []*text.Style{&p.Title.TextStyle, &p.Legend.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label} {
		style.Font.Variant = "Sans"
	}
	p.Legend.Top = true
	for i, w := range Windows {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			values[len(rows)-1-j] = math.Min(row.Windows[i].BurnRate, maxPlotRate)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Horizontal = true
		bars.LineStyle.Width = 0
		bars.Color = windowColors[i]
		bars.Offset = barWidth * vg.Length(1.5-float64(i))
		p.Add(bars)
		p.Legend.Add(w.Name, bars)
	}
	names := make([]string, len(rows))
	for j, row := range rows {
		names[len(rows)-1-j] = fmt.Sprintf("%s %s %s", row.Team, row.Class, row.Objective)
	}
	p.NominalY(names...)
	if err := addLimit(p, len(rows)); err != nil {
		return "", err
	}
	return svg(p, len(rows))
}

// addLimit draws the line at a burn rate of 1.
func addLimit(p *plot.Plot, rows int) error {
	line, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(rows) - 0.5}})
	if err != nil {
		return err
	}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.X.Max = max(p.X.Max, 1) * legendRoom
	return nil
}

// svg renders a plot as an element to put into a page.
func svg(p *plot.Plot, rows int) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotMargin+rowHeight*vg.Length(rows), "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", err
	}
	element := out.Bytes()
	if start := bytes.Index(element, []byte("<svg")); start > 0 {
		element = element[start:]
	}
	return template.HTML(element), nil
}
