// Package replay records runs as traces and replays traces into the decisions:
// the reducer, the authorization of requests, the judgement of open orders and
// jobs by their VMs' records, the planning of maintenance and the line of
// waiting requests. A trace holds the stated outcome beside each step, and a
// replay reports every step that ends otherwise. The decisions are those of the
// packages that the entries run, not copies.
package replay
