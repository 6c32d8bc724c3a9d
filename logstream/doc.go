// Package logstream connects a state machine to one stream of the platform's
// log. It follows the stream, applies each record in its order and publishes
// the state, and it appends proposed records in batches.
//
// Guarantee: Propose reports success only after the record has been read back
// and applied, and a record takes effect at most once, however often its
// append was sent. The offset of the published state never decreases.
package logstream
