// Package emulator emulates the users' platform over its published protocol: the
// metadata store, workers and the VM interface. Tests inject faults. All state is
// in memory.
package emulator
