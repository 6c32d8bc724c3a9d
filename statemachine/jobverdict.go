package statemachine

// JobVerdict is what the owner of a job concludes from a failure.
type JobVerdict string

const (
	// JobVerdictNone means that the owner has concluded nothing.
	JobVerdictNone JobVerdict = ""
	// JobVerdictImpossible means that the job can never run.
	JobVerdictImpossible JobVerdict = "impossible"
	// JobVerdictInconclusive means that the failures may be the targets' fault.
	JobVerdictInconclusive JobVerdict = "open"
	// JobVerdictAnswerTooLarge means that the job ran, and its answer cannot be
	// kept.
	JobVerdictAnswerTooLarge JobVerdict = "answer_too_large"
)

// JobFailureReason is why a job has failed.
type JobFailureReason string

const (
	// JobImpossible means that the job fails on targets that run other work.
	JobImpossible JobFailureReason = "impossible"
	// JobAttemptsExhausted means that the job has failed too often, by whatever cause.
	JobAttemptsExhausted JobFailureReason = "exhausted"
	// JobAnswerTooLarge means that the job ran, and its answer cannot be kept.
	JobAnswerTooLarge JobFailureReason = "answer_too_large"
	// JobNotRetried means that a job that runs at most once has failed.
	JobNotRetried JobFailureReason = "not_retried"
)
