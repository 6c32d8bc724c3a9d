package fakeworkers

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
)

// TaskBody is the part of a task's body that the fake interprets.
type TaskBody struct {
	// RunTimeMS is the run time in milliseconds.
	RunTimeMS int `json:"work_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
}

// Fleet is a set of VMs. It implements provider.Workers.
type Fleet struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	vms    map[string]*vm
	leases int
	starts map[string]int
}

// New returns a fleet without VMs.
func New(clock clockwork.Clock) *Fleet {
	return &Fleet{clock: clock, vms: make(map[string]*vm), starts: make(map[string]int)}
}

// AddVM adds a VM at the address.
func (f *Fleet) AddVM(address string, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[address] = newVM(slots, 1)
}

// SetFaults sets the injected faults of a VM.
func (f *Fleet) SetFaults(address string, faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[address].faults = faults
}

// ReplaceVM replaces the VM at the address by one without tasks. The tasks of
// the old VM end and are no longer listed.
func (f *Fleet) ReplaceVM(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.vms[address]
	for _, stop := range old.stops {
		close(stop)
	}
	f.vms[address] = newVM(old.slots, old.recordID+1)
}

// StartCounts returns the number of starts by task.
func (f *Fleet) StartCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.starts))
	for id, n := range f.starts {
		out[id] = n
	}
	return out
}

// ExpectedAnswer returns the body of the answer to the task's body.
func ExpectedAnswer(id string, body []byte) []byte {
	return append([]byte(id+": "), body...)
}

// lookupVM returns the VM at the address unless a fault makes it unreachable.
func (f *Fleet) lookupVM(op, address string) (*vm, error) {
	v, ok := f.vms[address]
	switch {
	case !ok || v.faults.Unreachable:
		return nil, &provider.Error{Op: op, Outcome: provider.Refused, Code: provider.CodeUnreachable, Message: address}
	case v.faults.TimesOut:
		return nil, &provider.Error{Op: op, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: address}
	}
	return v, nil
}

// AcquireSlot implements provider.Workers.
func (f *Fleet) AcquireSlot(ctx context.Context, address string, req provider.SlotRequest) (provider.SlotLease, error) {
	const op = "worker.acquire"
	if err := ctx.Err(); err != nil {
		return provider.SlotLease{}, &provider.Error{Op: op, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.lookupVM(op, address)
	if err != nil {
		return provider.SlotLease{}, err
	}
	now := f.clock.Now()
	free := v.free(now)
	if free <= 0 {
		return provider.SlotLease{}, &provider.Error{Op: op, Outcome: provider.Refused, Code: provider.CodeFull, Message: address}
	}
	f.leases++
	id := strconv.Itoa(f.leases)
	v.leases[id] = &lease{expires: now.Add(req.TTL)}
	return provider.SlotLease{ID: id, TTL: req.TTL, FreeSlots: free - 1, RecordID: v.recordIDString(), TasksStarted: v.startCount}, nil
}

// ReleaseSlot implements provider.Workers.
func (f *Fleet) ReleaseSlot(_ context.Context, address, leaseID string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.lookupVM("worker.release", address)
	if err != nil {
		return err
	}
	if l, ok := v.leases[leaseID]; ok && !l.running {
		delete(v.leases, leaseID)
	}
	return nil
}

// StopTask implements provider.Workers.
func (f *Fleet) StopTask(_ context.Context, address, taskID string, checkpoint bool) error {
	const op = "worker.stop"
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.lookupVM(op, address)
	if err != nil {
		return err
	}
	for _, status := range v.tasks {
		if status.ID != taskID || status.State != provider.TaskRunning {
			continue
		}
		if checkpoint {
			status.Checkpoint = strconv.FormatInt(f.clock.Now().UnixMilli()-status.StartedMS, 10)
		}
		key := stopKey(status.ID, status.Attempt)
		if stop, ok := v.stops[key]; ok {
			close(stop)
			delete(v.stops, key)
		}
		return nil
	}
	return &provider.Error{Op: op, Outcome: provider.Refused, Code: provider.CodeNotFound, Message: taskID}
}

// ListTasks implements provider.Workers.
func (f *Fleet) ListTasks(_ context.Context, address string) (provider.TaskList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.lookupVM("worker.list", address)
	if err != nil {
		return provider.TaskList{}, err
	}
	out := provider.TaskList{VM: address, RecordID: v.recordIDString(), PrunedCount: v.prunedCount}
	if v.faults.EmptyTaskList {
		return out, nil
	}
	for _, status := range v.tasks {
		out.Tasks = append(out.Tasks, *status)
	}
	return out, nil
}

// remainingRunTime returns the run time that remains after the checkpoint.
func remainingRunTime(task provider.Task) (time.Duration, bool) {
	var work TaskBody
	_ = json.Unmarshal(task.Body, &work)
	done, err := strconv.Atoi(task.Checkpoint)
	if err != nil {
		done = 0
	}
	return time.Duration(max(0, work.RunTimeMS-done)) * time.Millisecond, work.Fail
}
