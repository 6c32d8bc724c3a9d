// Package testbed starts the built binary as separate processes for tests:
// one stand-in for the platform and any number of entries, on loopback.
package testbed
