package job

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// resolve queries the VM for the outcome of a claimed start whose reply was
// lost or whose owner has failed, until the outcome is in the log.
func (e *execution) resolve(ctx context.Context, job *statemachine.Job) {
	startedAt := e.runner.cfg.Clock.Now()
	lastAnswerAt := startedAt
	for ctx.Err() == nil {
		current, ok := e.ownedJob()
		if !ok || current.State != statemachine.JobRunning || current.Attempt != job.Attempt {
			return
		}
		queriedAt := e.runner.cfg.Clock.Now()
		list, err := e.listTasks(ctx, current)
		if err == nil {
			lastAnswerAt = queriedAt
		}
		if finish := provenOutcome(current, list, err, queriedAt.Sub(startedAt), queriedAt.Sub(lastAnswerAt)); finish != nil {
			e.setVerdict(current, finish)
			e.recordFinish(ctx, finish)
			return
		}
		if e.shouldStop() {
			_ = e.runner.cfg.Workers.StopTask(ctx, current.Slot.Address, current.ID, true)
		}
		e.sleep(ctx, retryDelay)
	}
}

func (e *execution) listTasks(ctx context.Context, job *statemachine.Job) (provider.TaskList, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return e.runner.cfg.Workers.ListTasks(ctx, job.Slot.Address)
}

// provenOutcome returns the outcome of a claimed start that the VM's task list
// proves, or nil. See ResolveStart.
func provenOutcome(job *statemachine.Job, list provider.TaskList, err error, inDoubtFor, unresponsiveFor time.Duration) *statemachine.JobAttemptFinish {
	finish := &statemachine.JobAttemptFinish{ID: job.ID, Epoch: job.Epoch, Attempt: job.Attempt}
	if err != nil {
		if unresponsiveFor < lostTimeoutOf(job) {
			return nil
		}
		finish.Outcome, finish.Message = statemachine.JobAttemptLost, "the target does not answer"
		return finish
	}
	task, listed := findTask(list, job)
	switch {
	case !listed && !list.Covers(job.Slot.Record, job.Slot.Started):
		finish.Outcome, finish.Message = statemachine.JobAttemptLost, "the target has lost its record of tasks"
		return finish
	case !listed && inDoubtFor < unlistedStartTimeout:
		return nil
	case !listed:
		finish.Outcome = statemachine.JobAttemptReleased
		return finish
	}
	switch task.State {
	case provider.TaskSucceeded:
		return withAnswer(finish, task.Answer)
	case provider.TaskFailed:
		finish.Outcome, finish.Message = statemachine.JobAttemptFailed, "the task failed"
		return finish
	case provider.TaskStopped:
		finish.Outcome, finish.Checkpoint, finish.Message = statemachine.JobAttemptStopped, task.Checkpoint, "the task was stopped"
		return finish
	default:
		return nil
	}
}

// lostTimeoutOf returns the time without an answer from the VM after which the
// start counts as lost.
func lostTimeoutOf(job *statemachine.Job) time.Duration {
	if job.Idempotent {
		return lostTimeout
	}
	return lostTimeoutAtMostOnce
}

func findTask(list provider.TaskList, job *statemachine.Job) (provider.TaskStatus, bool) {
	for _, task := range list.Tasks {
		if task.ID == job.ID && task.Attempt == job.Attempt {
			return task, true
		}
	}
	return provider.TaskStatus{}, false
}
