package demo

import (
	"fmt"
	"io"
	"time"
)

// Check is one promise and whether it held.
type Check struct {
	Name   string `json:"name"`
	Passed bool   `json:"held"`
	Detail string `json:"detail"`
}

// Report is what a run measured.
type Report struct {
	// DurationMS is the run time in milliseconds.
	DurationMS int64 `json:"took_ms"`
	// Answered, NotRun, Failed and Unknown count the requests by outcome.
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Orders counts the orders that both of their callers got an answer to.
	Orders int `json:"orders"`
	// Jobs counts the jobs that were done.
	Jobs int `json:"jobs"`
	// P50US and P99US are latencies of answered requests, in microseconds.
	P50US int64 `json:"p50_us"`
	P99US int64 `json:"p99_us"`
	// WithdrawnMS is the time until every entry refused the withdrawn key, in
	// milliseconds.
	WithdrawnMS int64 `json:"withdrawn_ms"`
	// WaveDurationMS is the time that the maintenance of a pool took, in milliseconds.
	WaveDurationMS int64   `json:"wave_ms"`
	Checks         []Check `json:"checks"`
}

func (r *Report) check(name string, held bool, format string, args ...any) {
	r.Checks = append(r.Checks, Check{Name: name, Passed: held, Detail: fmt.Sprintf(format, args...)})
}

// Passed reports whether every promise held.
func (r *Report) Passed() bool {
	for _, c := range r.Checks {
		if !c.Passed {
			return false
		}
	}
	return true
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests: %d answered, %d not run, %d failed, %d unknown\n", r.Answered, r.NotRun, r.Failed, r.Unknown)
	fmt.Fprintf(w, "latency:  median %v, 99th percentile %v\n", time.Duration(r.P50US)*time.Microsecond, time.Duration(r.P99US)*time.Microsecond)
	fmt.Fprintf(w, "orders:   %d answered, each sent twice at once through two entries\n", r.Orders)
	fmt.Fprintf(w, "jobs:     %d done, accepted at one entry and read at another\n", r.Jobs)
	fmt.Fprintf(w, "key:      refused at every entry %d ms after its withdrawal\n", r.WithdrawnMS)
	fmt.Fprintf(w, "wave:     a pool's VMs drained, rebooted and returned under load in %.1f s\n\n", float64(r.WaveDurationMS)/1000)
	for _, c := range r.Checks {
		mark := "kept  "
		if !c.Passed {
			mark = "BROKEN"
		}
		fmt.Fprintf(w, "%s  %-52s %s\n", mark, c.Name, c.Detail)
	}
	verdict := "every promise was kept"
	if !r.Passed() {
		verdict = "A PROMISE WAS BROKEN"
	}
	fmt.Fprintf(w, "\n%s, in %.1f s\n", verdict, float64(r.DurationMS)/1000)
}
