package fakeworkers

import (
	"strconv"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// vm is one VM of the fleet, guarded by the fleet's lock.
type vm struct {
	slots       int
	faults      Faults
	leases      map[string]*lease
	tasks       []*provider.TaskStatus
	recordID    int
	startCount  uint64
	prunedCount uint64
	stops       map[string]chan struct{}
}

type lease struct {
	expires time.Time
	running bool
}

func newVM(slots, record int) *vm {
	return &vm{slots: slots, recordID: record, leases: make(map[string]*lease), stops: make(map[string]chan struct{})}
}

func (v *vm) recordIDString() string {
	return strconv.Itoa(v.recordID)
}

// free counts the slots that are neither leased nor running.
func (v *vm) free(now time.Time) int {
	for id, l := range v.leases {
		if !l.running && !now.Before(l.expires) {
			delete(v.leases, id)
		}
	}
	return v.slots - len(v.leases)
}

// start starts a task under its lease, or returns the code of its refusal.
func (v *vm) start(t provider.Task, now time.Time) (*provider.TaskStatus, provider.Code) {
	if v.faults.RejectStarts {
		return nil, provider.CodeDraining
	}
	l, ok := v.leases[t.LeaseID]
	if !ok || !now.Before(l.expires) {
		return nil, provider.CodeLeaseExpired
	}
	if l.running {
		return nil, provider.CodeFull
	}
	l.running = true
	v.startCount++
	status := &provider.TaskStatus{
		ID: t.ID, Attempt: t.Attempt, Team: t.Team, Holder: t.Holder,
		State: provider.TaskRunning, StartedMS: now.UnixMilli(),
	}
	v.tasks = append(v.tasks, status)
	v.stops[stopKey(t.ID, t.Attempt)] = make(chan struct{})
	return status, ""
}

// finish records the completion of a task once and frees its slot.
func (v *vm) finish(status *provider.TaskStatus, leaseID string, state provider.TaskState, now time.Time) {
	if l, ok := v.leases[leaseID]; ok {
		l.running = false
	}
	if status.State != provider.TaskRunning {
		return
	}
	status.State = state
	status.EndedMS = now.UnixMilli()
}

func stopKey(id string, attempt int) string {
	return id + "/" + strconv.Itoa(attempt)
}
