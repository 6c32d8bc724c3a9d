// Package executor executes the plans of package maintenance: it writes their
// records under the maintenance lease and calls the VMs.
//
// Guarantee: a VM is restarted only after its record says that it was empty,
// and after it has again confirmed that it accepts no new work and runs none.
// The log does not fence a call that was sent before a pause of this process
// and arrives after a takeover; the platform refuses to restart a VM that is
// not draining.
package executor
