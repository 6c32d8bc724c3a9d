// Package demo runs the main job on one machine: the platform's stand-in and
// three entries over loopback, with the work of both users, and checks the
// promises against the workers' own record.
package demo
