// Package lease gives one process a duty at a time, agreed through the records
// of an ordered log and nothing else.
//
// A lease is a record with an epoch. The holder renews it; whoever has seen no
// renewal for the time to live takes the lease over under the next epoch.
// Records written under the lease carry the epoch, and the state machine voids
// those of an older one.
//
// Guarantee: of several takers one wins, and a record of an earlier holder
// never takes effect after the takeover, however long that holder was paused.
// The lease does not keep an earlier holder from other side effects: a call
// that it sends after a pause is not fenced by the log. Two processes may
// believe at once that they hold the lease only if a clock runs wrong, for
// which each measures with two clocks and trusts the one that is safer.
package lease
