package job

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ResolveStart returns the end of a job's claimed start that its VM's record proves,
// or nil while nothing is proved. Err is the failure to read the record,
// openFor the time for which the start was known to be open when the VM was
// asked, and silentFor the time since the VM last answered. It is pure.
func ResolveStart(job *statemachine.Job, list provider.TaskList, err error, openFor, silentFor time.Duration) *statemachine.JobAttemptFinish {
	return judge(job, list, err, openFor, silentFor)
}
