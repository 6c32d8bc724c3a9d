package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// ClassReport holds the results of one class of work. Latencies are those of
// answers; a job's runs from its submission until it is seen to be finished.
type ClassReport struct {
	Class Class `json:"class"`
	Sent  int   `json:"sent"`
	// Cancels is the number of jobs for which a cancellation was sent. Some
	// finished before it.
	Cancels int `json:"cancels"`
	// Outcomes counts the outcomes. Those of accepted jobs are their final states,
	// or open if none was seen.
	Outcomes map[string]int `json:"outcomes"`
	P50MS    float64        `json:"p50_ms"`
	P95MS    float64        `json:"p95_ms"`
	P99MS    float64        `json:"p99_ms"`
	MaxMS    float64        `json:"max_ms"`
}

// outcomeText formats the outcomes as one line.
func (c ClassReport) outcomeText() string {
	var out []string
	for _, outcome := range slices.Sorted(maps.Keys(c.Outcomes)) {
		out = append(out, fmt.Sprintf("%s %d", outcome, c.Outcomes[outcome]))
	}
	return strings.Join(out, ", ")
}

// printClasses writes the classes with submitted work as a table.
func (r *Report) printClasses(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tSENT\tCANCELS\tP50\tP95\tP99\tMAX\tOUTCOMES")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%s\n",
			c.Class, c.Sent, c.Cancels, c.P50MS, c.P95MS, c.P99MS, c.MaxMS, c.outcomeText())
	}
	return table.Flush()
}
