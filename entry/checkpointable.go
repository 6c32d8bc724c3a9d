package entry

import (
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// checkpointable reports whether the task is the running start of an
// idempotent job: its owner resumes it elsewhere from the checkpoint. Any
// other task, and one that this entry does not know, is waited for.
func (s jobShards) checkpointable(task provider.TaskStatus) bool {
	shards := s.get()
	if shards == nil {
		return false
	}
	job, ok := shards.StreamFor(task.ID).State().Jobs.Get(task.ID)
	return ok && job.Idempotent && job.State == statemachine.JobRunning && job.Attempt == task.Attempt
}
