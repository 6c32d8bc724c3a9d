// Package testbed runs the built binary as separate processes for tests: one
// emulated platform (package standin) and any number of entries, on loopback.
package testbed
