// Package fakelog is an in-memory provider.Log with fault switches, for tests.
//
// It keeps the contract that platform's own test states, and it can lose a
// reply, lose or hold back an append, refuse calls, trim a stream and make a
// stream anew.
package fakelog
