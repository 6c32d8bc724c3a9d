// Package soak runs the program as separate processes against the emulator and
// injects faults: signals, and a loopback proxy between each entry and the store.
// It checks the guarantees as clients and workers observe them. The runs are tests;
// soak_test.go defines the flags.
package soak
