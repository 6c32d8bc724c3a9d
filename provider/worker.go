package provider

import (
	"context"
	"time"
)

// Workers runs tasks on VMs. A VM is addressed by the base URL that the VM
// list gives for it.
type Workers interface {
	// AcquireSlot leases one slot of the VM. The lease expires by the VM's own
	// clock, counted from the time at which the VM grants it.
	AcquireSlot(ctx context.Context, address string, req SlotRequest) (SlotLease, error)
	// ReleaseSlot returns a slot lease.
	ReleaseSlot(ctx context.Context, address, lease string) error
	// RunTask starts a task under a slot lease, waits until it finishes and
	// returns the complete answer. The VM refuses the start once the lease has
	// expired.
	RunTask(ctx context.Context, address string, task Task) (Answer, error)
	// StopTask stops a task. With checkpoint set the task saves its progress
	// first, if it can.
	StopTask(ctx context.Context, address, taskID string, checkpoint bool) error
	// ListTasks returns the VM's own list of tasks, running and finished. The
	// list lags behind the VM by at most the platform's usage lag.
	ListTasks(ctx context.Context, address string) (TaskList, error)
}

// SlotRequest requests a lease on one slot.
type SlotRequest struct {
	// Holder is the requesting entry incarnation.
	Holder string `json:"holder"`
	// TTL is the time to live of the lease.
	TTL time.Duration `json:"ttl_ns"`
}

// SlotLease is the right to run one task at a time on a VM.
type SlotLease struct {
	// ID identifies the lease at the VM.
	ID string `json:"id"`
	// TTL is the granted time to live, counted from the grant.
	TTL time.Duration `json:"ttl_ns"`
	// FreeSlots is the number of slots still free after the grant.
	FreeSlots int `json:"free"`
	// RecordID identifies the VM's task list. It changes when the VM loses the
	// list.
	RecordID string `json:"record"`
	// TasksStarted is the number of tasks that the VM had started at the grant.
	TasksStarted uint64 `json:"started"`
}

// Task is one attempt to execute a request or job.
type Task struct {
	// ID is the request or job that the task belongs to.
	ID string
	// Attempt counts the starts of the same ID, from 1.
	Attempt int
	// LeaseID is the slot lease to run under.
	LeaseID string
	// Team is the team whose limit the task counts against.
	Team string
	// Holder is the entry incarnation whose allotment the task uses.
	Holder string
	// Checkpoint is the saved progress to resume from, if any.
	Checkpoint string
	// Body is the payload, opaque to the platform.
	Body []byte
}

// Answer is the complete result of a task.
type Answer struct {
	// Body is the complete answer.
	Body []byte
	// FreeSlots is the number of free slots on the VM after the task.
	FreeSlots int
}

// TaskState is the state of a task in a VM's task list.
type TaskState string

const (
	// TaskRunning means that the task holds a slot.
	TaskRunning TaskState = "running"
	// TaskSucceeded means that the task finished with an answer.
	TaskSucceeded TaskState = "succeeded"
	// TaskFailed means that the task failed.
	TaskFailed TaskState = "failed"
	// TaskStopped means that the task was stopped from outside.
	TaskStopped TaskState = "stopped"
)

// TaskStatus is one task in a VM's task list.
type TaskStatus struct {
	ID         string    `json:"id"`
	Attempt    int       `json:"attempt"`
	Team       string    `json:"team"`
	Holder     string    `json:"holder"`
	State      TaskState `json:"state"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Answer     []byte    `json:"answer,omitempty"`
	StartedMS  int64     `json:"started_ms"`
	EndedMS    int64     `json:"ended_ms,omitempty"`
}

// TaskList is a VM's list of tasks.
type TaskList struct {
	VM string `json:"vm"`
	// RecordID identifies the VM's task list. It changes when the VM loses the
	// list.
	RecordID string `json:"record"`
	// PrunedCount is the number of tasks, in order of their start, that the VM
	// has pruned from the list.
	PrunedCount uint64 `json:"forgotten"`
	// Tasks are the tasks that the VM knows of, in order of their start.
	Tasks []TaskStatus `json:"tasks"`
	// MaxRunning is the highest number of tasks that ran at once, by team.
	MaxRunning map[string]int `json:"max_running"`
}

// Covers reports whether the list contains every task that was started under
// the lease, so that a task missing from it has not started.
func (l TaskList) Covers(record string, started uint64) bool {
	return record != "" && l.RecordID == record && l.PrunedCount <= started
}
