package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// Assignment is how far one task is and which worker may be running it.
type Assignment struct {
	Phase Phase `json:"p,omitempty"`
	// Attempt is the number of the last run.
	Attempt int `json:"a,omitempty"`
	// Worker and BornMillis name the life of the worker that has the run.
	Worker                string `json:"w,omitempty"`
	WorkerStartedAtMillis int64  `json:"b,omitempty"`
	// Failures counts the runs that ended as failed.
	Failures int `json:"f,omitempty"`
	// Checkpoint is the newest progress that was saved; empty for none.
	Checkpoint string `json:"c,omitempty"`
}

// AssignmentRecord returns the record of a task's assignment.
func AssignmentRecord(task fleet.TaskID, a Assignment) fleet.Record {
	return record(kindAssignment, task.String(), a)
}

// AssignmentTombstone returns the record that forgets a task.
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
