package entry

import (
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// isCheckpointable reports whether the task is the running attempt of an
// idempotent job, which its owner resumes elsewhere from the checkpoint. A
// drain waits for any other task and for one unknown to this entry.
func (s jobShards) isCheckpointable(task provider.TaskStatus) bool {
	shards := s.get()
	if shards == nil {
		return false
	}
	job, ok := shards.StreamFor(task.ID).State().Jobs.Get(task.ID)
	return ok && job.Idempotent && job.State == statemachine.JobRunning && job.Attempt == task.Attempt
}
