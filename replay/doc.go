// Package replay records runs as traces and replays traces through the decision
// logic: the state machine, the authorization of requests, the resolution of
// in-doubt orders and jobs by their VMs' task lists, maintenance planning and the
// admission queue. A trace holds the expected outcome of each step, and a replay
// reports every step whose outcome differs. The decision logic is that of the
// packages that the entries run, not a copy.
package replay
