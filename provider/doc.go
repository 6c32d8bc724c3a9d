// Package provider declares the interfaces to the platform that the fleet
// runs on: its append-only log, its workers and its list of VMs, with an HTTP
// adapter for each.
//
// Every call that fails returns an *Error whose Outcome tells the caller
// whether the call can have taken effect.
package provider
