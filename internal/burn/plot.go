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
	// plotRows is the maximum number of rows in a plot.
	plotRows   = 12
	plotWidth  = 24 * vg.Centimeter
	barWidth   = vg.Length(5)
	rowHeight  = vg.Length(34)
	plotMargin = vg.Length(80)
	// maxPlotRate caps the bars, so that one very high burn rate does not shrink
	// all others.
	maxPlotRate = 100
	// legendScale widens the axis, so that the legend covers no bar.
	legendScale = 1.15
)

var windowColors = []color.Color{
	color.RGBA{R: 178, G: 24, B: 43, A: 255},
	color.RGBA{R: 239, G: 138, B: 98, A: 255},
	color.RGBA{R: 103, G: 169, B: 207, A: 255},
	color.RGBA{R: 33, G: 102, B: 172, A: 255},
}

// fastestRows returns up to plotRows rows with the highest burn rates, in
// descending order.
func fastestRows(r Report) []Row {
	rows := slices.Clone(r.Rows)
	slices.SortStableFunc(rows, func(a, b Row) int {
		switch x, y := maxBurnRate(a), maxBurnRate(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return rows[:min(len(rows), plotRows)]
}

// maxBurnRate returns the highest burn rate of a row over all windows.
func maxBurnRate(row Row) float64 {
	rate := 0.0
	for _, w := range row.Windows {
		rate = max(rate, w.BurnRate)
	}
	return rate
}

// burnPlot draws the burn rates of the fastest rows as SVG, one bar per window.
func burnPlot(r Report) (template.HTML, error) {
	rows := fastestRows(r)
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
	if err := addBudgetLine(p, len(rows)); err != nil {
		return "", err
	}
	return svg(p, len(rows))
}

// addBudgetLine draws a dashed line at a burn rate of 1 and widens the axis.
func addBudgetLine(p *plot.Plot, rows int) error {
	line, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(rows) - 0.5}})
	if err != nil {
		return err
	}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.X.Max = max(p.X.Max, 1) * legendScale
	return nil
}

// svg renders a plot as an SVG element for embedding into HTML.
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
