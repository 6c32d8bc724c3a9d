package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Promise is one invariant as the load has seen it from outside.
type Promise struct {
	Name string `json:"name"`
	// Checked is false if the load had no means to see it.
	Checked bool `json:"checked"`
	// Broken counts the cases in which it did not hold.
	Broken int `json:"broken"`
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
func (r *runner) promises(out *Report) []Promise {
	r.mu.Lock()
	jobs := Promise{Name: promiseJobs, Checked: r.accepted > 0, Broken: r.brokenJobs, Detail: r.brokenJob}
	wrongJobs := r.wrongJobs
	r.mu.Unlock()
	if out.Interrupted && out.Open > 0 {
		jobs.Checked = false
		jobs.Detail = fmt.Sprintf("%d jobs were not watched to their end", out.Open)
	}
	whole := Promise{Name: promiseWhole, Checked: true, Broken: out.Wrong() + wrongJobs}
	return append([]Promise{whole, jobs}, r.recorded()...)
}

// recorded holds what the callers were told against the workers' own account.
func (r *runner) recorded() []Promise {
	once, refused, ran := Promise{Name: promiseOnce}, Promise{Name: promiseNotRun}, Promise{Name: promiseRan}
	detail := "the workers' record was not given"
	if r.cfg.Record != nil {
		starts, err := r.cfg.Record()
		if err == nil {
			once.Broken, refused.Broken, ran.Broken = r.fates.against(starts)
			once.Checked, refused.Checked, ran.Checked = true, true, true
			return []Promise{once, refused, ran}
		}
		detail = "the workers' record cannot be read: " + err.Error()
	}
	once.Detail, refused.Detail, ran.Detail = detail, detail, detail
	return []Promise{once, refused, ran}
}

// Broken returns the number of cases in which a promise did not hold.
func (r *Report) Broken() int {
	broken := 0
	for _, p := range r.Promises {
		broken += p.Broken
	}
	return broken
}

// printPromises writes the promises as a table.
func (r *Report) printPromises(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tRESULT\t")
	for _, p := range r.Promises {
		fmt.Fprintf(table, "%s\t%s\t%s\n", p.Name, p.result(), p.Detail)
	}
	return table.Flush()
}

func (p Promise) result() string {
	switch {
	case p.Broken > 0:
		return fmt.Sprintf("BROKEN %d times", p.Broken)
	case !p.Checked:
		return "not checked"
	default:
		return "kept"
	}
}
