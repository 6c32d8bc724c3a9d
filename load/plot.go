package load

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

const (
	plotWidth  = 800
	plotHeight = 300
	plotMargin = 40
)

var plotColors = []string{"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#2c3e50"}

// plotLine is one team's line of the plot.
type plotLine struct {
	Team, Color, Points string
	LabelY              int
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="40" y="16">Slots in use by team, {{.Seconds}} s, up to {{.Top}} slots</text>
{{range .Lines}}<polyline fill="none" stroke="{{.Color}}" stroke-width="1.5" points="{{.Points}}"/>
<text x="848" y="{{.LabelY}}" fill="{{.Color}}">{{.Team}}</text>
{{end}}</svg>
`))

// WriteSVG writes the slots in use by team over time as SVG.
func (r *Report) WriteSVG(w io.Writer) error {
	top, seconds := 1.0, 1
	for _, t := range r.Teams {
		seconds = max(seconds, len(t.SlotsInUse))
		for _, used := range t.SlotsInUse {
			top = max(top, used)
		}
	}
	var lines []plotLine
	for i, t := range r.Teams {
		var points strings.Builder
		for second, used := range t.SlotsInUse {
			x := plotMargin + float64(second*plotWidth)/float64(seconds)
			y := plotMargin + plotHeight*(1-used/top)
			fmt.Fprintf(&points, "%.1f,%.1f ", x, y)
		}
		lines = append(lines, plotLine{
			Team: t.Team, Color: plotColors[i%len(plotColors)], Points: points.String(), LabelY: plotMargin + 16*(i+1),
		})
	}
	return plotTemplate.Execute(w, map[string]any{
		"Width": plotWidth + 5*plotMargin, "Height": plotHeight + 2*plotMargin, "Seconds": seconds, "Top": int(top + 0.5), "Lines": lines,
	})
}
