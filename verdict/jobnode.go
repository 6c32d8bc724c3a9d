package verdict

import (
	"slices"
	"time"
)

// jobNode is a job that has failed.
type jobNode struct {
	id   string
	team string
	// succeeded is set once the job has run to its end.
	succeeded bool
	failures  []*failure
	// pass is the latest update that took the job into account.
	pass uint64
}

func (j *jobNode) on(target *targetNode) *failure {
	for _, f := range j.failures {
		if f.target == target {
			return f
		}
	}
	return nil
}

// before reports whether all failures of the job are older than the horizon.
func (j *jobNode) before(horizon time.Time) bool {
	return !slices.ContainsFunc(j.failures, func(f *failure) bool { return f.at.After(horizon) })
}
