// Package fakelog is an in-memory provider.Log with fault injection, for tests.
//
// It passes the contract test of package provider, and it can drop a reply,
// drop or delay an append, refuse calls, and trim or recreate a stream.
package fakelog
