package api

import (
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// Accepted answers a change that the log has accepted.
type Accepted struct {
	// Offset is the place of the change in the control stream.
	Offset uint64 `json:"offset"`
	// Applied tells whether every live entry is known to have applied it.
	Applied bool `json:"applied"`
	// Detail says why an answer 202 is not an answer 200: the change is in the
	// log, and not yet known to be applied by more than half of the entries.
	Detail string `json:"detail,omitempty"`
}

// KeyGrantRequest asks for a new key.
type KeyGrantRequest struct {
	Workspace string `json:"workspace" validate:"required"`
	Label     string `json:"label" validate:"max=200"`
}

// KeyGranted carries a new key. The key itself is shown only here.
type KeyGranted struct {
	Accepted
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// VMQuarantineRequest asks to keep a VM from new work.
type VMQuarantineRequest struct {
	Version uint64 `json:"version" validate:"min=1"`
	// Message tells other operators why.
	Message string `json:"message,omitempty" validate:"max=256"`
}

// VMReleaseRequest asks to end a VM's quarantine.
type VMReleaseRequest struct {
	Version uint64 `json:"version" validate:"min=1"`
}

// VMMoveRequest asks to move a VM to another pool.
type VMMoveRequest struct {
	From    string `json:"from" validate:"required"`
	To      string `json:"to" validate:"required"`
	Version uint64 `json:"version" validate:"min=1"`
}

// Status is one entry's view of the system.
type Status struct {
	Incarnation string `json:"incarnation"`
	// Offset is the next control offset that the entry applies.
	Offset uint64 `json:"offset"`
	// Current tells whether the entry may admit keyed work.
	Current bool `json:"current"`
	// ControlAgeMS is the age of the last proof that the control state was
	// current, in milliseconds, or -1 without one.
	ControlAgeMS int64 `json:"control_age_ms"`
	// Inflight is the number of requests that run through the entry.
	Inflight int `json:"inflight"`
	// Unsettled is the number of starts whose end is not known.
	Unsettled int                    `json:"unsettled"`
	Entries   []EntryStatus          `json:"entries"`
	Teams     map[string]quota.Usage `json:"teams"`
	Pools     map[string]int         `json:"pools"`
}

// EntryStatus is what an entry knows of another one.
type EntryStatus struct {
	statemachine.Entry
	// Reachable tells whether the entry answered a heartbeat lately.
	Reachable bool `json:"reachable"`
	// Applied is the control offset that the entry said it had applied.
	Applied uint64 `json:"applied"`
}

// Timeline is an answer to a time line query.
type Timeline struct {
	Events []timeline.Event `json:"events"`
}
