// Package logstream connects a state machine to one stream of the platform's
// log. It follows the stream, applies each record in order, publishes the state
// and appends proposed records in batches.
//
// Guarantee: Propose reports success only after the record has been read back
// and applied, and a record takes effect at most once, however often its
// append was sent. The offset of the published state never decreases.
package logstream
