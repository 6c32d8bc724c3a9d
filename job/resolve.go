package job

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// resolve asks the VM what became of a claimed start whose reply did not come
// or whose owner is gone, until its end is in the log.
func (a *run) resolve(ctx context.Context, job *statemachine.Job) {
	first := a.r.cfg.Clock.Now()
	answered := first
	for ctx.Err() == nil {
		current, ok := a.mine()
		if !ok || current.State != statemachine.JobRunning || current.Attempt != job.Attempt {
			return
		}
		asked := a.r.cfg.Clock.Now()
		list, err := a.list(ctx, current)
		if err == nil {
			answered = asked
		}
		if end := judge(current, list, err, asked.Sub(first), asked.Sub(answered)); end != nil {
			a.addVerdict(current, end)
			a.record(ctx, end)
			return
		}
		if a.stopWanted() {
			_ = a.r.cfg.Workers.StopTask(ctx, current.Slot.Address, current.ID, true)
		}
		a.pause(ctx, retryDelay)
	}
}

func (a *run) list(ctx context.Context, job *statemachine.Job) (provider.TaskList, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return a.r.cfg.Workers.ListTasks(ctx, job.Slot.Address)
}

// judge returns the end of a claimed start that the VM's record proves, or
// nil. OpenFor is the time for which the start was known to be open when the
// VM was asked, silentFor the time since the VM last answered.
func judge(job *statemachine.Job, list provider.TaskList, err error, openFor, silentFor time.Duration) *statemachine.JobAttemptFinish {
	out := &statemachine.JobAttemptFinish{ID: job.ID, Epoch: job.Epoch, Attempt: job.Attempt}
	if err != nil {
		if silentFor < patience(job) {
			return nil
		}
		out.Outcome, out.Message = statemachine.JobAttemptLost, "the target does not answer"
		return out
	}
	task, listed := find(list, job)
	switch {
	case !listed && !list.Covers(job.Slot.Record, job.Slot.Started):
		out.Outcome, out.Message = statemachine.JobAttemptLost, "the target has lost its record of tasks"
		return out
	case !listed && openFor < absentAfter:
		return nil
	case !listed:
		out.Outcome = statemachine.JobAttemptReleased
		return out
	}
	switch task.State {
	case provider.TaskSucceeded:
		return withAnswer(out, task.Answer)
	case provider.TaskFailed:
		out.Outcome, out.Message = statemachine.JobAttemptFailed, "the task failed"
		return out
	case provider.TaskStopped:
		out.Outcome, out.Checkpoint, out.Message = statemachine.JobAttemptStopped, task.Checkpoint, "the task was stopped"
		return out
	default:
		return nil
	}
}

// patience is the time for which a VM may be silent.
func patience(job *statemachine.Job) time.Duration {
	if job.Idempotent {
		return lostAfter
	}
	return lostOnceAfter
}

func find(list provider.TaskList, job *statemachine.Job) (provider.TaskStatus, bool) {
	for _, task := range list.Tasks {
		if task.ID == job.ID && task.Attempt == job.Attempt {
			return task, true
		}
	}
	return provider.TaskStatus{}, false
}
