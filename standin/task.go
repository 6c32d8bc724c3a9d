package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// task is one started task. Its status is guarded by the VM's lock.
type task struct {
	status provider.TaskStatus
	work   TaskBody
	from   time.Duration
	start  time.Time
	done   context.Context
	cancel context.CancelFunc
}

func newTask(t provider.Task, now time.Time) *task {
	done, cancel := context.WithCancel(context.Background())
	resumed, err := strconv.Atoi(t.Checkpoint)
	if err != nil {
		resumed = 0
	}
	return &task{
		status: provider.TaskStatus{
			ID: t.ID, Attempt: t.Attempt, Team: t.Team, Holder: t.Holder,
			State: provider.TaskRunning, StartedMS: now.UnixMilli(),
		},
		work:   parseWork(t.Body),
		from:   time.Duration(resumed) * time.Millisecond,
		start:  now,
		done:   done,
		cancel: cancel,
	}
}

func (t *task) key() string {
	return taskKey(t.status.ID, t.status.Attempt)
}

// remaining is the run time that is left after the checkpoint.
func (t *task) remaining() time.Duration {
	return max(0, t.work.duration()-t.from)
}

// progress is the checkpoint at the given time: milliseconds of work done.
func (t *task) progress(now time.Time) string {
	return strconv.FormatInt((t.from + now.Sub(t.start)).Milliseconds(), 10)
}
