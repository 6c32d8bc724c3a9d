// Package verdict distinguishes targets that fail everything they start from
// jobs that can never run, by the outcomes of the jobs' starts.
//
// A failed start has one of three causes: the target, the job, or a transient
// fault. Each failure links one job and one target, and the probability of each
// cause follows from the other failures of both. The package reads no clock and
// does no I/O.
package verdict
