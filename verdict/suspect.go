package verdict

// Suspect is a target that counts as bad.
type Suspect struct {
	Target string
	// Jobs is the number of distinct jobs that failed on the target since its
	// latest success.
	Jobs        int
	Probability float64
}
