package verdict

import "time"

// failure joins a job and a target on which it failed.
type failure struct {
	job    *jobNode
	target *targetNode
	at     time.Time
	// cleared is set once the target has succeeded after the failure.
	cleared bool
	// impossible is the probability of the job's fault that the job's other
	// failures give.
	impossible float64
	// bad is the probability of the target's fault that the target's other
	// failures give.
	bad float64
}
