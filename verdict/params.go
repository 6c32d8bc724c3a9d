package verdict

import "time"

// Params are the failure model and the confidence that a verdict requires.
// Probabilities lie between 0 and 1.
type Params struct {
	// BadTargetPrior is the prior probability that a target fails everything.
	BadTargetPrior float64
	// RelapsedTargetPrior is the same for a target that was quarantined and has
	// not succeeded since.
	RelapsedTargetPrior float64
	// ImpossibleJobPrior is the prior probability that a job can never run.
	ImpossibleJobPrior float64
	// TransientFailureProbability is the probability that a start fails by
	// chance.
	TransientFailureProbability float64
	// JobConfidence is the probability from which a job counts as impossible.
	JobConfidence float64
	// TargetConfidence is the probability from which a target counts as bad.
	TargetConfidence float64
	// Window is the age beyond which a failure is discarded.
	Window time.Duration
}

const (
	// maxFailuresPerTarget bounds the failures retained per target since its
	// latest success.
	maxFailuresPerTarget = 16
	// maxJobs bounds the jobs with failures that are retained. The oldest is
	// evicted first.
	maxJobs = 4096
	// iterations is the number of times that the probabilities of jobs and
	// targets are computed from each other.
	iterations = 6
	// minIndependentTeams is the number of teams whose failing jobs count
	// against a target although none of them has succeeded elsewhere.
	minIndependentTeams = 2
)

// DefaultParams returns the parameters that an entry uses.
func DefaultParams() Params {
	return Params{
		BadTargetPrior: 0.01, RelapsedTargetPrior: 0.9, ImpossibleJobPrior: 0.02, TransientFailureProbability: 0.03,
		JobConfidence: 0.99, TargetConfidence: 0.99999, Window: time.Hour,
	}
}
