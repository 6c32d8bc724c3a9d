package verdict

import "time"

// Params are the model of failures and the confidence that a verdict needs.
// Probabilities lie between 0 and 1.
type Params struct {
	// BadTargetPrior is the probability that a target fails everything, before
	// anything is known of it.
	BadTargetPrior float64
	// RelapsedTargetPrior is the same for a target that was quarantined and has not
	// succeeded since.
	RelapsedTargetPrior float64
	// ImpossibleJobPrior is the probability that a job can never run.
	ImpossibleJobPrior float64
	// TransientFailureProbability is the probability that a start fails by chance.
	TransientFailureProbability float64
	// JobConfidence is the probability from which a job counts as impossible.
	JobConfidence float64
	// TargetConfidence is the probability from which a target counts as bad.
	TargetConfidence float64
	// Window is the age beyond which a failure is forgotten.
	Window time.Duration
}

const (
	// failuresPerTarget bounds the failures that are kept of one target since
	// its latest success.
	failuresPerTarget = 16
	// maxJobs bounds the jobs with failures that are kept. The oldest goes
	// first.
	maxJobs = 4096
	// rounds is the number of times that the probabilities of jobs and targets
	// are worked out from each other.
	rounds = 6
	// independentTeams is the number of teams whose failing jobs speak against
	// a target although none of them has succeeded elsewhere.
	independentTeams = 2
)

// DefaultParams returns the parameters of an entry.
func DefaultParams() Params {
	return Params{
		BadTargetPrior: 0.01, RelapsedTargetPrior: 0.9, ImpossibleJobPrior: 0.02, TransientFailureProbability: 0.03,
		JobConfidence: 0.99, TargetConfidence: 0.99999, Window: time.Hour,
	}
}
