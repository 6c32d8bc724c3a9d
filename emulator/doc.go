// Package emulator is the project's own stand-in of the users' platform, over its
// published protocol: the metadata store, workers and the interface for VMs.
// Faults are switched by tests. Nothing of it is durable.
package emulator
