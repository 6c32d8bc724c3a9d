// Package soak runs the real program as separate processes against the emulator
// and injects faults from outside: signals, and a proxy on loopback between each
// entry and the store. It checks the promises while it runs, from what callers
// and workers see. Its runs are tests; see soak_test.go for the flags.
package soak
