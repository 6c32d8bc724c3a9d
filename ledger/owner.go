package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// Owner is what the fleet's owner says of itself at each heartbeat.
type Owner struct {
	Token int64  `json:"k"`
	Node  string `json:"n"`
	// Released tells that the owner has stopped for good.
	Released bool  `json:"x,omitempty"`
	AtMillis int64 `json:"t"`
	// Load tells the entries what to expect of each queue, by its name.
	Load map[string]QueueLoad `json:"l,omitempty"`
}

// QueueLoad is what the owner expects of a new job in the queue.
type QueueLoad struct {
	// Backlog is the work ahead of a new job, in core-milliseconds.
	Backlog int64 `json:"b,omitempty"`
	// Cores is what the queue's pool has, in thousandths of a core.
	Cores int64 `json:"c,omitempty"`
}

// OwnerRecord returns the record of the owner's heartbeat.
func OwnerRecord(o Owner) fleet.Record { return record(kindOwner, "", o) }
