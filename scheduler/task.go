package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// task is one unit of work of a step.
type task struct {
	id   fleet.TaskID
	step *step
	// phase is how far the task is.
	phase phase
	// attempt is the number of the last run.
	attempt int
	// worker has the run; nil while the task waits or is done.
	worker *worker
	// failures counts the runs that ended as failed.
	failures   int
	checkpoint string
	// restored tasks were assigned by an earlier owner; a look under the new
	// token tells whether their run is there.
	restored bool
	// restoredRun tells that an earlier owner started the run.
	restoredRun bool
	// movedAway tells that the task has been taken away from a slow worker.
	movedAway bool
	// confirmedAt is when the worker confirmed the run.
	confirmedAt time.Time
	// unsure starts got no answer.
	unsure bool
	// goneAfter is when a stop, or a refusal as superseded, was answered; a look
	// sent later that does not show the run proves that it is gone. Zero for none.
	goneAfter time.Time
	// stopOrderedAt is when the last stop went out.
	stopOrderedAt time.Time
	// avoid is the worker on which the last run failed, until avoidUntil.
	avoid      string
	avoidUntil time.Time
	// percent and usage come from the last look.
	percent int
	usage   int64
	// progressAt is when percent last rose.
	progressAt time.Time
	// pace is the share of its speed that the run has been given, in percent.
	pace     int
	pacedAt  time.Time
	atWorkAt time.Time
	ticket   string
}

// need returns what the task takes of its worker's room. Filling tasks use only
// the processors that others leave.
func (t *task) need() fleet.Resources {
	need := t.step.def.Need
	if t.step.def.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// assignment returns the task's state for the ledger.
func (t *task) assignment() ledger.Assignment {
	a := ledger.Assignment{Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint}
	switch {
	case t.phase == done:
		a.Phase = ledger.PhaseDone
	case t.worker != nil:
		a.Phase = ledger.PhaseAssigned
		a.Worker, a.WorkerStartedAtMillis = t.worker.info.ID, t.worker.info.StartedAtMillis
	}
	return a
}

// mayRun reports whether a run of the task can be on its worker.
func (t *task) mayRun() bool { return t.phase == starting || t.phase == running || t.phase == stopping }
