package replay

import (
	"time"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// InDoubt is the outcome of a judgement while nothing is proved.
	InDoubt = "open"
	// Missing is the outcome of a judgement of what its stream does not hold.
	Missing = "missing"
)

// OrderResolution asks what a VM's record proves of an open claim.
type OrderResolution struct {
	Stream string `json:"stream"`
	// Order is the order's ID.
	Order string `json:"order"`
	// List is the VM's record. Lines of other tasks may be left out.
	List provider.TaskList `json:"list"`
	// InDoubtForMS is the time for which the claim was known to be open, in
	// milliseconds.
	InDoubtForMS int64 `json:"open_for_ms"`
	// Outcome is the end that is proved, Open or Missing.
	Outcome string `json:"outcome"`
}

// JobResolution asks what a VM's record proves of a job's claimed start.
type JobResolution struct {
	Stream string `json:"stream"`
	// Job is the job's ID.
	Job string `json:"job"`
	// List is the VM's record. Lines of other tasks may be left out.
	List provider.TaskList `json:"list"`
	// Unreachable is set if the VM did not answer.
	Unreachable bool `json:"silent,omitempty"`
	// InDoubtForMS is the time for which the start was known to be open, and
	// SilentForMS that since the VM last answered, in milliseconds.
	InDoubtForMS     int64 `json:"open_for_ms"`
	UnreachableForMS int64 `json:"silent_for_ms,omitempty"`
	// Outcome is the end that is proved, Open or Missing.
	Outcome string `json:"outcome"`
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func (p *Player) judgeOrder(j OrderResolution) string {
	order, ok := p.State(j.Stream).Orders.Get(j.Order)
	if !ok {
		return Missing
	}
	settle := dispatch.ResolveOrder(order, j.List, milliseconds(j.InDoubtForMS))
	if settle == nil {
		return InDoubt
	}
	return string(settle.Outcome)
}

func (p *Player) judgeJob(j JobResolution) string {
	found, ok := p.State(j.Stream).Jobs.Get(j.Job)
	if !ok {
		return Missing
	}
	var err error
	if j.Unreachable {
		err = &provider.Error{Op: "worker.list", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	end := job.ResolveStart(found, j.List, err, milliseconds(j.InDoubtForMS), milliseconds(j.UnreachableForMS))
	if end == nil {
		return InDoubt
	}
	return string(end.Outcome)
}
