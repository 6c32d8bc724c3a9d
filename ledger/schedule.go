package ledger

import "github.com/anvilcourse/anvilcourse/fleet"

// ScheduleProgress is how far a job with a schedule has come.
type ScheduleProgress struct {
	// FinishedBefore is the first occurrence that may not have finished: all with lower
	// numbers have, and their tasks have no records.
	FinishedBefore int `json:"n"`
}

// ScheduleRecord returns the record of the job's progress. It is stored before the tombstones
// of the tasks that it replaces.
func ScheduleRecord(job string, p ScheduleProgress) fleet.Record {
	return record(kindSchedule, job, p)
}

// ScheduleTombstone returns the record that removes the progress of a finished job.
func ScheduleTombstone(job string) fleet.Record {
	return fleet.Record{Key: string(rune(kindSchedule)) + job}
}
