package job

import "github.com/anvilcourse/anvilcourse/statemachine"

// FailureClassifier tells a job that can never run from one that met bad targets.
type FailureClassifier interface {
	// ClassifyFailure takes the failure of the job's latest start into account and
	// returns what follows for the job.
	ClassifyFailure(job *statemachine.Job) statemachine.JobVerdict
}

// addVerdict completes the record of a failed start.
func (a *run) addVerdict(job *statemachine.Job, end *statemachine.JobAttemptFinish) {
	if end.Outcome == statemachine.JobAttemptFailed && end.Verdict == statemachine.JobVerdictNone {
		end.Verdict = a.r.cfg.Classifier.ClassifyFailure(job)
	}
}
