package job

import "github.com/anvilcourse/anvilcourse/statemachine"

// FailureClassifier distinguishes jobs that can never run from jobs that failed
// on bad targets.
type FailureClassifier interface {
	// ClassifyFailure records the failure of the job's latest start and returns
	// the verdict on the job.
	ClassifyFailure(job *statemachine.Job) statemachine.JobVerdict
}

// setVerdict adds the verdict to the record of a failed start.
func (e *execution) setVerdict(job *statemachine.Job, finish *statemachine.JobAttemptFinish) {
	if finish.Outcome == statemachine.JobAttemptFailed && finish.Verdict == statemachine.JobVerdictNone {
		finish.Verdict = e.runner.cfg.Classifier.ClassifyFailure(job)
	}
}
