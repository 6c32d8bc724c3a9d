// Package scheduler decides which task runs where: it ranks and places tasks, retries
// them, detects expired leases and determines what is recorded before a request is
// sent. It holds the leader's state of the whole fleet, reads no clock and performs no
// I/O: every method takes the time, and TakeBatch returns the records to store and the
// requests to send.
//
// A start is requested only after its assignment has been stored, and an outcome is
// acknowledged to its worker only after it has been stored. A task is started again
// only when its last run is known to have ended, or its lease must have expired.
package scheduler
