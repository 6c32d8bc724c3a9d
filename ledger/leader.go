package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Leader is the heartbeat of the fleet's leader.
type Leader struct {
	FencingToken int64 `json:"k"`
	// LastToken is the last of the fencing tokens that the leader holds; 0 if it holds
	// FencingToken only.
	LastToken int64  `json:"l,omitempty"`
	Node      string `json:"n"`
	// Resigned is set once the leader has stopped for good.
	Resigned bool `json:"x,omitempty"`
	// TakeoverFailed is set with Resigned if the leader has not begun to lead: what the
	// one before it requested may still be in flight.
	TakeoverFailed bool `json:"f,omitempty"`
	// AlternateStreams is the set of entries' streams that are used on the store's
	// slow days.
	AlternateStreams StreamSet `json:"s,omitempty"`
	// StoresVMOrders is set if the leader stores each order for a VM before it sends it.
	StoresVMOrders bool  `json:"v,omitempty"`
	AtMillis       int64 `json:"t"`
}

// Holds reports whether the leader holds the token or a later one.
func (l *Leader) Holds(token int64) bool { return max(l.FencingToken, l.LastToken) >= token }

// LeaderRecord returns the record of the leader's heartbeat.
func LeaderRecord(l Leader) fleet.Record { return record(kindLeader, "", l) }
