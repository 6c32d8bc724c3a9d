package verdict

import "time"

// failure links a job and a target on which it failed.
type failure struct {
	job    *jobNode
	target *targetNode
	at     time.Time
	// cleared is set once the target has succeeded after the failure.
	cleared bool
	// impossibleProbability is the probability that the job is impossible, given
	// the job's other failures.
	impossibleProbability float64
	// badProbability is the probability that the target is bad, given the
	// target's other failures.
	badProbability float64
}
