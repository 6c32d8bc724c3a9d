package verdict

import (
	"slices"
	"time"
)

// jobNode is a job that has failed.
type jobNode struct {
	id   string
	team string
	// succeeded is set once the job has succeeded.
	succeeded bool
	failures  []*failure
	// pass is the latest update that included the job.
	pass uint64
}

func (j *jobNode) failureOn(target *targetNode) *failure {
	for _, f := range j.failures {
		if f.target == target {
			return f
		}
	}
	return nil
}

// allFailuresBefore reports whether all failures of the job are older than the
// horizon.
func (j *jobNode) allFailuresBefore(horizon time.Time) bool {
	return !slices.ContainsFunc(j.failures, func(f *failure) bool { return f.at.After(horizon) })
}
