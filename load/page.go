package load

import (
	"html/template"
	"io"
	"strings"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>anvilcourse load</title>
<style>
body { font-family: sans-serif; margin: 2em }
pre { font-size: 13px }
</style></head><body>
<h1>Load</h1>
<pre>{{.Text}}</pre>
{{.Plot}}
</body></html>
`))

// WriteHTML writes the report with its plot as one HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	var text, plot strings.Builder
	if err := r.Print(&text); err != nil {
		return err
	}
	if err := r.WriteSVG(&plot); err != nil {
		return err
	}
	return pageTemplate.Execute(w, map[string]any{"Text": text.String(), "Plot": template.HTML(plot.String())})
}
