// Package api holds the messages of the HTTP interfaces for callers and
// operators, and a client for them.
package api
