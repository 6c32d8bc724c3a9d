package replay

import (
	"time"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// InDoubt is the outcome while the VM's task list proves nothing.
	InDoubt = "open"
	// Missing is the outcome for an order or job that its stream does not hold.
	Missing = "missing"
)

// OrderResolution resolves an order's unsettled claim by the VM's task list.
type OrderResolution struct {
	Stream string `json:"stream"`
	// Order is the order's ID.
	Order string `json:"order"`
	// List is the VM's task list. Lines of other tasks may be omitted.
	List provider.TaskList `json:"list"`
	// InDoubtForMS is the time for which the claim was known to be unsettled, in
	// milliseconds.
	InDoubtForMS int64 `json:"open_for_ms"`
	// Outcome is the proved outcome, InDoubt or Missing.
	Outcome string `json:"outcome"`
}

// JobResolution resolves a job's claimed start by the VM's task list.
type JobResolution struct {
	Stream string `json:"stream"`
	// Job is the job's ID.
	Job string `json:"job"`
	// List is the VM's task list. Lines of other tasks may be omitted.
	List provider.TaskList `json:"list"`
	// Unreachable is set if the VM did not answer.
	Unreachable bool `json:"silent,omitempty"`
	// InDoubtForMS is the time for which the start was known to be in doubt, and
	// UnreachableForMS the time since the VM last answered, in milliseconds.
	InDoubtForMS     int64 `json:"open_for_ms"`
	UnreachableForMS int64 `json:"silent_for_ms,omitempty"`
	// Outcome is the proved outcome, InDoubt or Missing.
	Outcome string `json:"outcome"`
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func (p *Player) resolveOrder(j OrderResolution) string {
	order, ok := p.State(j.Stream).Orders.Get(j.Order)
	if !ok {
		return Missing
	}
	settlement := dispatch.ResolveOrder(order, j.List, milliseconds(j.InDoubtForMS))
	if settlement == nil {
		return InDoubt
	}
	return string(settlement.Outcome)
}

func (p *Player) resolveJob(j JobResolution) string {
	found, ok := p.State(j.Stream).Jobs.Get(j.Job)
	if !ok {
		return Missing
	}
	var err error
	if j.Unreachable {
		err = &provider.Error{Op: "worker.list", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	outcome := job.ResolveStart(found, j.List, err, milliseconds(j.InDoubtForMS), milliseconds(j.UnreachableForMS))
	if outcome == nil {
		return InDoubt
	}
	return string(outcome.Outcome)
}
