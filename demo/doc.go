// Package demo runs the system on one machine: the platform's stand-in and three
// entries over loopback, with the work of both users. It checks the guarantees
// against the record that the stand-in's workers keep.
package demo
