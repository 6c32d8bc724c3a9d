// Package ledger defines the records that describe the fleet's jobs in the
// platform's store, and the state that they reduce to.
//
// Entries write submissions and cancellations; the fleet's leader writes
// assignments and results under its fencing token. An assignment is stored
// before its run is started, so the ledger names every worker on which a task
// can be running. Only the newest record of each key is needed: a record replaces
// the one before it, and applying it twice changes nothing.
package ledger
