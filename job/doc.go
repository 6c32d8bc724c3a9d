// Package job executes long-running jobs. Each job is accepted by a record in
// the log and is owned by one entry at a time. A start is sent only after a
// record that names its slot lease.
//
// Guarantee: records of an earlier owner are rejected, and a job that runs at
// most once gets a second start only if its target proves that the first one
// never started.
package job
