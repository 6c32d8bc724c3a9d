// Package executor carries the plans of package maintenance out: it writes
// their records under the maintenance lease and calls the VMs.
//
// Guarantee: a VM is restarted only after its record says that it was seen
// empty, and after it has again confirmed that it takes no new work and runs
// none. A call that was sent before a pause of this process and arrives after
// a takeover is not fenced by the log; the platform refuses to restart a VM
// that does not drain.
package executor
