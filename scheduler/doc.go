// Package scheduler decides which task runs where: the order of work, its
// placement, retries, leases that ran out, and what is recorded before an order
// goes out. It holds the state of the whole fleet as its owner knows it, reads
// no clock and performs no I/O: every method takes the time, and Take returns
// the records to store and the orders to send.
//
// A start is ordered only after its assignment has been stored, and an end is
// acknowledged to its worker only after it has been stored. A task is started
// again only when its last run is known to have ended, or its lease must have
// run out.
package scheduler
