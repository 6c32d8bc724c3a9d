package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Owner is what the fleet's owner says of itself at each heartbeat.
type Owner struct {
	Token int64  `json:"k"`
	Node  string `json:"n"`
	// Released tells that the owner has stopped for good.
	Released bool `json:"x,omitempty"`
	// Aside is the set of entries' streams that are used on the store's slow days.
	Aside    StreamSet `json:"s,omitempty"`
	AtMillis int64     `json:"t"`
}

// OwnerRecord returns the record of the owner's heartbeat.
func OwnerRecord(o Owner) fleet.Record { return record(kindOwner, "", o) }
