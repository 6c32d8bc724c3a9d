// Package job carries long work out: each job is accepted by a record in the
// log, belongs to one entry at a time, and is started under a slot lease that
// a record names before the start is sent.
//
// Guarantee: a step of an earlier owner is void, and a job that runs at most
// once gets a second start only if its target proves that the first one never
// began.
package job
