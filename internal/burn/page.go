package burn

import (
	_ "embed" // For the page's template.
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"rate":    rateText,
	"reasons": reasonsText,
	"seconds": secondsText,
}).Parse(pageText))

// page is the data of the template.
type page struct {
	Report
	Plot    template.HTML
	Fastest string
	Windows []Window
}

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(out io.Writer, r Report) error {
	p := page{Report: r, Fastest: fastestText(r), Windows: Windows}
	if len(r.Rows) > 0 {
		plot, err := burnPlot(r)
		if err != nil {
			return err
		}
		p.Plot = plot
	}
	return pageTemplate.Execute(out, p)
}
