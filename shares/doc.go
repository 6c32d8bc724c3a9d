// Package shares allocates capacity to teams by weighted max-min fairness. It
// is pure: it reads no clock, starts no goroutine and does no I/O.
package shares
