package verdict

// Suspect is a target that counts as bad.
type Suspect struct {
	Target string
	// FailedJobs is the number of distinct jobs that failed on the target since
	// its latest success.
	FailedJobs  int
	Probability float64
}
