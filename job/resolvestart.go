package job

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ResolveStart returns the outcome of a job's claimed start that its VM's task
// list proves, or nil while nothing is proved. Err is the failure to read the
// list, inDoubtFor the time for which the start was known to be in doubt when
// the VM was queried, and unresponsiveFor the time since the VM last answered.
// It is a pure function.
func ResolveStart(job *statemachine.Job, list provider.TaskList, err error, inDoubtFor, unresponsiveFor time.Duration) *statemachine.JobAttemptFinish {
	return provenOutcome(job, list, err, inDoubtFor, unresponsiveFor)
}
