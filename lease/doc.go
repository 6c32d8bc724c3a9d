// Package lease assigns a duty to one process at a time, coordinated only
// through the records of an ordered log.
//
// A lease is a record with an epoch. The holder renews it; a process that has
// observed no renewal for the time to live acquires it under the next epoch.
// Records written under the lease carry the epoch, and the state machine
// rejects those of an older one.
//
// Guarantee: of several candidates one wins, and a record of an earlier holder
// never takes effect after the takeover, however long that holder was paused.
// The lease does not prevent other side effects of an earlier holder: a call
// that it sends after a pause is not fenced by the log. Two processes may
// both believe that they hold the lease only if a clock is faulty; each
// therefore measures with two clocks and uses the safer reading.
package lease
