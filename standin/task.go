package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// task is one attempt of a task. Its status is guarded by vm.mu.
type task struct {
	status      provider.TaskStatus
	body        TaskBody
	resumedFrom time.Duration
	startedAt   time.Time
	ctx         context.Context
	cancel      context.CancelFunc
}

func newTask(t provider.Task, now time.Time) *task {
	ctx, cancel := context.WithCancel(context.Background())
	resumed, err := strconv.Atoi(t.Checkpoint)
	if err != nil {
		resumed = 0
	}
	return &task{
		status: provider.TaskStatus{
			ID: t.ID, Attempt: t.Attempt, Team: t.Team, Holder: t.Holder,
			State: provider.TaskRunning, StartedMS: now.UnixMilli(),
		},
		body:        parseTaskBody(t.Body),
		resumedFrom: time.Duration(resumed) * time.Millisecond,
		startedAt:   now,
		ctx:         ctx,
		cancel:      cancel,
	}
}

func (t *task) key() string {
	return taskKey(t.status.ID, t.status.Attempt)
}

// remaining returns the run time after the checkpoint.
func (t *task) remaining() time.Duration {
	return max(0, t.body.duration()-t.resumedFrom)
}

// progress returns the checkpoint: the run time until now in milliseconds.
func (t *task) progress(now time.Time) string {
	return strconv.FormatInt((t.resumedFrom + now.Sub(t.startedAt)).Milliseconds(), 10)
}
