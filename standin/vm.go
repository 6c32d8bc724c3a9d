package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/provider"
)

// maxEndedTasks bounds the ended tasks that a VM remembers.
const maxEndedTasks = 4096

// lateAfter is the time after the start of a drain from which a start is late.
const lateAfter = 3 * time.Second

// slot is one leased slot. It may run one task at a time.
type slot struct {
	holder  string
	expires time.Time
	task    string
}

// vm is one worker.
type vm struct {
	info     provider.VMInfo
	recorder *recorder

	mu       sync.Mutex
	faults   VMFaults
	draining bool
	// drainedAt is when the VM began to drain.
	drainedAt time.Time
	slots     map[string]*slot
	tasks     map[string]*task
	order     []string
	last      []byte
	thaw      chan struct{}
	// record names the record of tasks, started counts its tasks and forgotten
	// those that were dropped from it.
	record    string
	started   uint64
	forgotten uint64
}

func newVM(info provider.VMInfo, recorder *recorder) *vm {
	return &vm{
		info:     info,
		recorder: recorder,
		slots:    make(map[string]*slot),
		tasks:    make(map[string]*task),
		thaw:     make(chan struct{}),
		record:   uuid.NewString(),
	}
}

// free counts the slots that are neither leased nor running. v.mu is held.
func (v *vm) free(now time.Time) int {
	for id, s := range v.slots {
		if s.task == "" && !now.Before(s.expires) {
			delete(v.slots, id)
		}
	}
	return v.info.Slots - len(v.slots)
}

func (v *vm) acquire(req provider.SlotRequest, now time.Time) (provider.SlotLease, provider.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining && !v.faults.AcceptWhileDraining {
		return provider.SlotLease{}, provider.CodeDraining
	}
	if v.free(now) <= 0 {
		return provider.SlotLease{}, provider.CodeFull
	}
	id := uuid.NewString()
	v.slots[id] = &slot{holder: req.Holder, expires: now.Add(req.TTL)}
	free := v.info.Slots - len(v.slots)
	return provider.SlotLease{ID: id, TTL: req.TTL, FreeSlots: free, RecordID: v.record, TasksStarted: v.started}, ""
}

func (v *vm) release(lease string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.slots[lease]; ok && s.task == "" {
		delete(v.slots, lease)
	}
}

// start begins a task under its slot lease, or says why it does not begin.
func (v *vm) start(t *task, lease string, now time.Time) provider.Code {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining && now.Sub(v.drainedAt) > lateAfter {
		v.recorder.late()
	}
	if v.draining && !v.faults.AcceptWhileDraining {
		return provider.CodeDraining
	}
	s, ok := v.slots[lease]
	if !ok || !now.Before(s.expires) {
		return provider.CodeLeaseExpired
	}
	if s.task != "" {
		return provider.CodeFull
	}
	s.task = t.key()
	v.tasks[t.key()] = t
	v.order = append(v.order, t.key())
	v.started++
	v.forget()
	v.recorder.started(t.status.ID, t.status.Team)
	return ""
}

// forget drops the oldest ended tasks. v.mu is held.
func (v *vm) forget() {
	for len(v.order) > maxEndedTasks {
		oldest := v.tasks[v.order[0]]
		if oldest != nil && oldest.status.State == provider.TaskRunning {
			return
		}
		delete(v.tasks, v.order[0])
		v.order = v.order[1:]
		v.forgotten++
	}
}

// finish ends a task once; later calls change nothing. The slot lease stays
// with its holder until it lapses.
func (v *vm) finish(t *task, lease string, state provider.TaskState, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.end(t, state, now, false)
	if s, ok := v.slots[lease]; ok && s.task == t.key() {
		s.task = ""
	}
}

// end records the end of a task. v.mu is held.
func (v *vm) end(t *task, state provider.TaskState, now time.Time, cut bool) {
	if t.status.State != provider.TaskRunning {
		return
	}
	t.status.State = state
	t.status.EndedMS = now.UnixMilli()
	v.recorder.ended(t.status.Team, cut)
}

// stop asks a running task to end, saving its progress if asked.
func (v *vm) stop(id string, checkpoint bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := false
	for _, t := range v.tasks {
		if t.status.ID != id || t.status.State != provider.TaskRunning {
			continue
		}
		found = true
		if checkpoint {
			t.status.Checkpoint = t.progress(now)
		}
		t.cancel()
	}
	return found
}

// reboot ends every task and returns how many ran.
func (v *vm) reboot(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.endAll(now)
}

// endAll ends every task and every slot lease and returns how many tasks ran.
// v.mu is held.
func (v *vm) endAll(now time.Time) int {
	ended := 0
	for _, t := range v.tasks {
		if t.status.State == provider.TaskRunning {
			ended++
		}
		v.end(t, provider.TaskStopped, now, true)
		t.cancel()
	}
	v.slots = make(map[string]*slot)
	return ended
}

func (v *vm) setDraining(draining bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if draining == v.draining {
		return
	}
	v.draining = draining
	if draining {
		v.drainedAt = now
		v.recorder.draining(v.info.Pool, 1)
		return
	}
	v.recorder.draining(v.info.Pool, -1)
}

// restart reboots the VM. Only a VM that drains and has started no task since
// the position is restarted.
func (v *vm) restart(at provider.TaskListPosition, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	position := provider.TaskListPosition{RecordID: v.record, TasksStarted: v.started}
	if !v.draining || at != position {
		return false
	}
	v.endAll(now)
	return true
}

func (v *vm) setFaults(faults VMFaults, now time.Time) {
	v.mu.Lock()
	wasFrozen := v.faults.Frozen
	v.faults = faults
	if wasFrozen && !faults.Frozen {
		close(v.thaw)
		v.thaw = make(chan struct{})
	}
	v.mu.Unlock()
	if faults.Failed {
		v.recorder.lost(v.reboot(now))
	}
}

// list returns the VM's record of its tasks.
func (v *vm) list() provider.TaskList {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := provider.TaskList{VM: v.info.ID, RecordID: v.record, PrunedCount: v.forgotten, Tasks: []provider.TaskStatus{}}
	for _, key := range v.order {
		if t := v.tasks[key]; t != nil {
			out.Tasks = append(out.Tasks, t.status)
		}
	}
	return out
}

// describe returns the VM's line in the platform's list.
func (v *vm) describe() provider.VMInfo {
	v.mu.Lock()
	defer v.mu.Unlock()
	info := v.info
	info.State = provider.VMActive
	if v.draining && !v.faults.AcceptWhileDraining {
		info.State = provider.VMDraining
	}
	if v.faults.Failed {
		info.State = provider.VMFailed
	}
	return info
}

func taskKey(id string, attempt int) string {
	return id + "/" + strconv.Itoa(attempt)
}
