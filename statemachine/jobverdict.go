package statemachine

// JobVerdict is the conclusion of a job's owner from a failure.
type JobVerdict string

const (
	// JobVerdictNone means that the owner has drawn no conclusion.
	JobVerdictNone JobVerdict = ""
	// JobVerdictImpossible means that the job cannot succeed on any target.
	JobVerdictImpossible JobVerdict = "impossible"
	// JobVerdictInconclusive means that the targets may have caused the failures.
	JobVerdictInconclusive JobVerdict = "open"
	// JobVerdictAnswerTooLarge means that the job ran, and its answer is too large
	// to retain.
	JobVerdictAnswerTooLarge JobVerdict = "answer_too_large"
)

// JobFailureReason is why a job has failed.
type JobFailureReason string

const (
	// JobImpossible means that the job fails on targets that run other work.
	JobImpossible JobFailureReason = "impossible"
	// JobAttemptsExhausted means that the job has failed too often, for any cause.
	JobAttemptsExhausted JobFailureReason = "exhausted"
	// JobAnswerTooLarge means that the answer is too large to retain.
	JobAnswerTooLarge JobFailureReason = "answer_too_large"
	// JobNotRetried means that a job that runs at most once has failed.
	JobNotRetried JobFailureReason = "not_retried"
)
