// Package statemachine reduces the records of a log stream to a state that is
// the same on every process that has applied the same records.
//
// A State is immutable: Apply returns a new one that shares the unchanged
// parts, so that readers hold a consistent state without a lock. The package is
// pure. It reads no clock, starts no goroutine and does no I/O.
//
// The reducer enforces the invariants. A record whose precondition fails at its
// offset is rejected by every process, whoever wrote it.
package statemachine
