package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Guarantee is one invariant as the load has seen it from outside.
type Guarantee struct {
	Name string `json:"name"`
	// Checked is false if the load had no means to see it.
	Checked bool `json:"checked"`
	// Violations counts the cases in which it did not hold.
	Violations int `json:"broken"`
	// Detail says more, for people.
	Detail string `json:"detail,omitempty"`
}

const (
	promiseWhole  = "every answer is whole and belongs to its request"
	promiseJobs   = "every accepted job finishes or ends with a reason"
	promiseOnce   = "no order and no job that runs at most once was started twice"
	promiseNotRun = "what was refused as not_run was not started"
	promiseRan    = "what was answered was started"
)

// promises judges the run.
func (r *runner) promises(out *Report) []Guarantee {
	r.mu.Lock()
	jobs := Guarantee{Name: promiseJobs, Checked: r.accepted > 0, Violations: r.brokenJobs, Detail: r.brokenJob}
	wrongJobs := r.wrongJobs
	r.mu.Unlock()
	if out.Interrupted && out.UnfinishedJobs > 0 {
		jobs.Checked = false
		jobs.Detail = fmt.Sprintf("%d jobs were not watched to their end", out.UnfinishedJobs)
	}
	whole := Guarantee{Name: promiseWhole, Checked: true, Violations: out.WrongAnswers() + wrongJobs}
	return append([]Guarantee{whole, jobs}, r.recorded()...)
}

// recorded holds what the callers were told against the workers' own account.
func (r *runner) recorded() []Guarantee {
	once, refused, ran := Guarantee{Name: promiseOnce}, Guarantee{Name: promiseNotRun}, Guarantee{Name: promiseRan}
	detail := "the workers' record was not given"
	if r.cfg.ReadStartCounts != nil {
		starts, err := r.cfg.ReadStartCounts()
		if err == nil {
			once.Violations, refused.Violations, ran.Violations = r.fates.against(starts)
			once.Checked, refused.Checked, ran.Checked = true, true, true
			return []Guarantee{once, refused, ran}
		}
		detail = "the workers' record cannot be read: " + err.Error()
	}
	once.Detail, refused.Detail, ran.Detail = detail, detail, detail
	return []Guarantee{once, refused, ran}
}

// Violations returns the number of cases in which a promise did not hold.
func (r *Report) Violations() int {
	broken := 0
	for _, p := range r.Guarantees {
		broken += p.Violations
	}
	return broken
}

// printPromises writes the promises as a table.
func (r *Report) printPromises(w io.Writer) error {
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
