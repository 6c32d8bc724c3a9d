package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Leader is what the fleet's owner says of itself at each heartbeat.
type Leader struct {
	FencingToken int64  `json:"k"`
	Node         string `json:"n"`
	// Resigned tells that the owner has stopped for good.
	Resigned bool `json:"x,omitempty"`
	// AlternateStreams is the set of entries' streams that are used on the store's slow days.
	AlternateStreams StreamSet `json:"s,omitempty"`
	AtMillis         int64     `json:"t"`
}

// LeaderRecord returns the record of the owner's heartbeat.
func LeaderRecord(o Leader) fleet.Record { return record(kindOwner, "", o) }
