// Package verdict tells targets that fail everything they start from jobs that
// can never run, by the ends of the jobs' starts.
//
// A failed start has one of three causes: the target, the job, or chance.
// Each failure joins one job and one target, and the probability of each cause
// follows from the other failures of both. The package has no clock and does
// no I/O.
package verdict
