// Package standin is a small stand-in for the platform: an append-only log,
// workers and a lagging list of VMs in one process, over HTTP, with switches
// for faults. It serves tests and the demonstration.
package standin
