// Package admission decides which requests of an entry wait for a slot, for how
// long, and which of them gets the next one.
//
// Guarantees: a request is assigned a slot only if, given the run times of
// earlier requests of its queue, its deadline can be met; a request that cannot
// meet it is refused as early as that is known. At full capacity, the team that
// is furthest below its share is served first. Estimates come from observed run
// times and not from declared sizes, so after a change of run time the first
// requests are estimated by the old one.
//
// The package reads no clock and does no I/O: times are passed in.
package admission
