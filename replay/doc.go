// Package replay records the log of a run as a trace and replays traces into
// the decisions: the reducer and the authorization of requests. A trace holds
// the stated outcome beside each step, and a replay reports every step that
// ends otherwise.
package replay
