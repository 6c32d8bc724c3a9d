package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// Assignment is the progress of one task and which worker may be running it.
type Assignment struct {
	Phase Phase `json:"p,omitempty"`
	// Attempt is the number of the last run.
	Attempt int `json:"a,omitempty"`
	// Worker and WorkerStartedAtMillis identify the incarnation of the worker.
	Worker                string `json:"w,omitempty"`
	WorkerStartedAtMillis int64  `json:"b,omitempty"`
	// WorkerReplaced is set if that incarnation has replaced another one under its ID.
	WorkerReplaced bool `json:"r,omitempty"`
	// Failures counts the runs that failed.
	Failures int `json:"f,omitempty"`
	// Began is set once a run of the task is known to have begun.
	Began bool `json:"g,omitempty"`
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string `json:"c,omitempty"`
}

// HasBegun reports whether a run of the task is known to have begun.
func (a *Assignment) HasBegun() bool { return a.Began || a.Phase == PhaseDone || a.Failures > 0 }

// AssignmentRecord returns the record of a task's assignment.
func AssignmentRecord(task fleet.TaskID, a Assignment) fleet.Record {
	return record(kindAssignment, task.String(), a)
}

// AssignmentTombstone returns the record that removes an assignment.
func AssignmentTombstone(task fleet.TaskID) fleet.Record {
	return fleet.Record{Key: string(rune(kindAssignment)) + task.String()}
}

// record encodes the value. All values of this package can be encoded.
func record(kind rune, id string, value any) fleet.Record {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode ledger record"))
	}
	return fleet.Record{Key: string(kind) + id, Value: raw}
}
