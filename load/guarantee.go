package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Guarantee is one invariant, checked from the outside.
type Guarantee struct {
	Name string `json:"name"`
	// Checked is false if the run could not check it.
	Checked bool `json:"checked"`
	// Violations counts the cases in which it was violated.
	Violations int `json:"broken"`
	// Detail is human-readable.
	Detail string `json:"detail,omitempty"`
}

const (
	guaranteeAnswersMatch     = "every answer is whole and belongs to its request"
	guaranteeJobsFinish       = "every accepted job finishes or ends with a reason"
	guaranteeAtMostOnce       = "no order and no job that runs at most once was started twice"
	guaranteeNotRunNotStarted = "what was refused as not_run was not started"
	guaranteeAnsweredStarted  = "what was answered was started"
)

// checkGuarantees checks the run.
func (r *runner) checkGuarantees(out *Report) []Guarantee {
	r.mu.Lock()
	jobs := Guarantee{Name: guaranteeJobsFinish, Checked: r.accepted > 0, Violations: r.violatingJobs, Detail: r.firstViolation}
	wrongJobs := r.wrongJobAnswers
	r.mu.Unlock()
	if out.Interrupted && out.UnfinishedJobs > 0 {
		jobs.Checked = false
		jobs.Detail = fmt.Sprintf("%d jobs were not watched until they finished", out.UnfinishedJobs)
	}
	answers := Guarantee{Name: guaranteeAnswersMatch, Checked: true, Violations: out.WrongAnswers() + wrongJobs}
	return append([]Guarantee{answers, jobs}, r.checkStartCounts()...)
}

// checkStartCounts compares the reported outcomes with the workers' start counts.
func (r *runner) checkStartCounts() []Guarantee {
	atMostOnce, rejected, ran := Guarantee{Name: guaranteeAtMostOnce}, Guarantee{Name: guaranteeNotRunNotStarted}, Guarantee{Name: guaranteeAnsweredStarted}
	detail := "no source of the workers' start counts was given"
	if r.cfg.ReadStartCounts != nil {
		starts, err := r.cfg.ReadStartCounts()
		if err == nil {
			atMostOnce.Violations, rejected.Violations, ran.Violations = r.outcomes.compareStarts(starts)
			atMostOnce.Checked, rejected.Checked, ran.Checked = true, true, true
			return []Guarantee{atMostOnce, rejected, ran}
		}
		detail = "the workers' start counts cannot be read: " + err.Error()
	}
	atMostOnce.Detail, rejected.Detail, ran.Detail = detail, detail, detail
	return []Guarantee{atMostOnce, rejected, ran}
}

// Violations returns the number of violations over all guarantees.
func (r *Report) Violations() int {
	total := 0
	for _, p := range r.Guarantees {
		total += p.Violations
	}
	return total
}

// printGuarantees writes the guarantees as a table.
func (r *Report) printGuarantees(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tRESULT\t")
	for _, p := range r.Guarantees {
		fmt.Fprintf(table, "%s\t%s\t%s\n", p.Name, p.result(), p.Detail)
	}
	return table.Flush()
}

func (p Guarantee) result() string {
	switch {
	case p.Violations > 0:
		return fmt.Sprintf("BROKEN %d times", p.Violations)
	case !p.Checked:
		return "not checked"
	default:
		return "kept"
	}
}
