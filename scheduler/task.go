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
	// phase is the task's state.
	phase phase
	// attempt is the number of the last run.
	attempt int
	// worker has the run; nil while the task waits or is done. pool was the worker's
	// when the run was assigned.
	worker *worker
	pool   string
	// began reports that a run of the task has begun.
	began bool
	// failures counts the failed runs.
	failures   int
	checkpoint string
	// restored tasks were assigned by an earlier leader; a poll with the new fencing
	// token shows whether their run exists.
	restored bool
	// restoredOn is the incarnation that the stored assignment names.
	restoredOn int64
	// onReplaced reports that the run was assigned, or carried over, while leases of requests
	// that were meant for an earlier incarnation of its worker might last.
	onReplaced bool
	// startedByPreviousLeader is set if an earlier leader started the run.
	startedByPreviousLeader bool
	// placedLate reports that the job could only be late when the run was placed.
	placedLate bool
	// movedFromSlowWorker reports that the task has been moved off a slow worker.
	movedFromSlowWorker bool
	// stopsForOthers counts the runs that were stopped for other work.
	stopsForOthers int
	// nominated is the worker on which room is being freed for the task, until
	// nominatedUntil.
	nominated      *worker
	nominatedUntil time.Time
	// confirmedAt is when the worker confirmed the run.
	confirmedAt time.Time
	// shownOn is the incarnation of the worker on which a status has shown the run; 0
	// for none.
	shownOn int64
	// strays is the number of workers with a run of the task that is not assigned.
	strays int
	// inDoubt starts got no response.
	inDoubt bool
	// absentAfter is when a stop, or a refusal as superseded, was answered; a poll sent
	// later that does not show the run proves that it has ended. Zero for none.
	absentAfter time.Time
	// ended is the last run whose end a worker has listed.
	ended endedRun
	// stopRequestedAt is when the last stop request was issued.
	stopRequestedAt time.Time
	// avoid is the worker on which the last run failed, until avoidUntil.
	avoid      string
	avoidUntil time.Time
	// progress (in percent) and usage are as last reported.
	progress int
	usage    int64
	// progressAt is when progress last increased.
	progressAt time.Time
	// cpuPercent is the run's CPU share after throttling, in percent.
	cpuPercent   int
	throttledAt  time.Time
	runningSince time.Time
	ticket       string
	// resumed reports that the run started from a checkpoint, observed that its step has
	// counted it among the runs seen.
	resumed, observed bool
	// confirmedProgress is how far the run was, in percent, when it was confirmed.
	confirmedProgress int
}

// resources returns the capacity that the task uses on its worker.
func (t *task) resources() fleet.Resources { return t.step.def.ReservedResources() }

// assignment returns the task's state for the ledger.
func (t *task) assignment() ledger.Assignment {
	a := ledger.Assignment{Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint, Began: t.began}
	switch {
	case t.phase == done:
		a.Phase = ledger.PhaseDone
	case t.worker != nil:
		a.Phase = ledger.PhaseAssigned
		a.Worker, a.WorkerStartedAtMillis = t.worker.info.ID, t.worker.info.StartedAtMillis
		a.WorkerReplaced = t.onReplaced
	}
	return a
}

// mayHaveRun reports whether a run of the task can exist on its worker.
func (t *task) mayHaveRun() bool {
	return t.phase == starting || t.phase == running || t.phase == stopping
}
