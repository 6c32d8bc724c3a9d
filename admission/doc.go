// Package admission decides which requests of an entry wait for a slot, for
// how long, and which of them gets the next one.
//
// Guarantees: a request is handed a slot only if its caller can still be
// answered by what earlier requests of its queue took; a request that cannot
// is refused as early as that is known. When everything is full, the team that
// is furthest under its share is served first. Estimates come from observed run
// times and not from declared sizes, so the first requests after a change of
// their run time are judged by the old one.
//
// The package reads no clock and does no I/O: times are passed in.
package admission
