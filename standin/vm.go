package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/provider"
)

// maxFinishedTasks bounds the finished tasks that a VM retains.
const maxFinishedTasks = 4096

// drainGracePeriod is the age of a drain from which StartsWhileDraining counts.
const drainGracePeriod = 3 * time.Second

// slot is a leased slot. It runs at most one task at a time.
type slot struct {
	holder    string
	expiresAt time.Time
	task      string
}

// vm is an emulated worker.
type vm struct {
	info     provider.VMInfo
	recorder *recorder

	mu       sync.Mutex
	faults   VMFaults
	draining bool
	// drainedAt is when the VM started to drain.
	drainedAt  time.Time
	slots      map[string]*slot
	tasks      map[string]*task
	taskOrder  []string
	lastAnswer []byte
	unfreeze   chan struct{}
	// recordID identifies the task list, tasksStarted counts its tasks and
	// prunedCount those that were removed from it.
	recordID     string
	tasksStarted uint64
	prunedCount  uint64
}

func newVM(info provider.VMInfo, recorder *recorder) *vm {
	return &vm{
		info:     info,
		recorder: recorder,
		slots:    make(map[string]*slot),
		tasks:    make(map[string]*task),
		unfreeze: make(chan struct{}),
		recordID: uuid.NewString(),
	}
}

// countFreeSlots prunes expired leases and counts free slots. v.mu must be held.
func (v *vm) countFreeSlots(now time.Time) int {
	for id, s := range v.slots {
		if s.task == "" && !now.Before(s.expiresAt) {
			delete(v.slots, id)
		}
	}
	return v.info.Slots - len(v.slots)
}

func (v *vm) acquireSlot(req provider.SlotRequest, now time.Time) (provider.SlotLease, provider.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining && !v.faults.AcceptWhileDraining {
		return provider.SlotLease{}, provider.CodeDraining
	}
	if v.countFreeSlots(now) <= 0 {
		return provider.SlotLease{}, provider.CodeFull
	}
	id := uuid.NewString()
	v.slots[id] = &slot{holder: req.Holder, expiresAt: now.Add(req.TTL)}
	free := v.info.Slots - len(v.slots)
	return provider.SlotLease{ID: id, TTL: req.TTL, FreeSlots: free, RecordID: v.recordID, TasksStarted: v.tasksStarted}, ""
}

func (v *vm) releaseSlot(lease string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.slots[lease]; ok && s.task == "" {
		delete(v.slots, lease)
	}
}

// startTask starts a task under its slot lease, or returns why it is rejected.
func (v *vm) startTask(t *task, lease string, now time.Time) provider.Code {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining && now.Sub(v.drainedAt) > drainGracePeriod {
		v.recorder.startWhileDraining()
	}
	if v.draining && !v.faults.AcceptWhileDraining {
		return provider.CodeDraining
	}
	s, ok := v.slots[lease]
	if !ok || !now.Before(s.expiresAt) {
		return provider.CodeLeaseExpired
	}
	if s.task != "" {
		return provider.CodeFull
	}
	s.task = t.key()
	v.tasks[t.key()] = t
	v.taskOrder = append(v.taskOrder, t.key())
	v.tasksStarted++
	v.pruneTasks()
	v.recorder.taskStarted(t.status.ID, t.status.Team)
	return ""
}

// pruneTasks removes the oldest finished tasks. v.mu must be held.
func (v *vm) pruneTasks() {
	for len(v.taskOrder) > maxFinishedTasks {
		oldest := v.tasks[v.taskOrder[0]]
		if oldest != nil && oldest.status.State == provider.TaskRunning {
			return
		}
		delete(v.tasks, v.taskOrder[0])
		v.taskOrder = v.taskOrder[1:]
		v.prunedCount++
	}
}

// finishTask records the outcome of a task; it is idempotent. The slot lease stays
// with its holder until it expires.
func (v *vm) finishTask(t *task, lease string, state provider.TaskState, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordFinish(t, state, now, false)
	if s, ok := v.slots[lease]; ok && s.task == t.key() {
		s.task = ""
	}
}

// recordFinish records the outcome of a running task. v.mu must be held.
func (v *vm) recordFinish(t *task, state provider.TaskState, now time.Time, interrupted bool) {
	if t.status.State != provider.TaskRunning {
		return
	}
	t.status.State = state
	t.status.EndedMS = now.UnixMilli()
	v.recorder.taskFinished(t.status.Team, interrupted)
}

// stopTask cancels a running task, saving its progress if checkpoint is set.
func (v *vm) stopTask(id string, checkpoint bool, now time.Time) bool {
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

// interruptTasks stops every task and returns how many were running.
func (v *vm) interruptTasks(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.interruptTasksLocked(now)
}

// interruptTasksLocked stops every task, ends every slot lease and returns how
// many tasks were running. v.mu must be held.
func (v *vm) interruptTasksLocked(now time.Time) int {
	interrupted := 0
	for _, t := range v.tasks {
		if t.status.State == provider.TaskRunning {
			interrupted++
		}
		v.recordFinish(t, provider.TaskStopped, now, true)
		t.cancel()
	}
	v.slots = make(map[string]*slot)
	return interrupted
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
		v.recorder.drainingChanged(v.info.Pool, 1)
		return
	}
	v.recorder.drainingChanged(v.info.Pool, -1)
}

// rebootIfIdle reboots the VM if it is draining and has started no task since the
// position.
func (v *vm) rebootIfIdle(at provider.TaskListPosition, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	position := provider.TaskListPosition{RecordID: v.recordID, TasksStarted: v.tasksStarted}
	if !v.draining || at != position {
		return false
	}
	v.interruptTasksLocked(now)
	return true
}

func (v *vm) setFaults(faults VMFaults, now time.Time) {
	v.mu.Lock()
	wasFrozen := v.faults.Frozen
	v.faults = faults
	if wasFrozen && !faults.Frozen {
		close(v.unfreeze)
		v.unfreeze = make(chan struct{})
	}
	v.mu.Unlock()
	if faults.Failed {
		v.recorder.tasksLost(v.interruptTasks(now))
	}
}

// taskList returns the VM's running and retained tasks.
func (v *vm) taskList() provider.TaskList {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := provider.TaskList{VM: v.info.ID, RecordID: v.recordID, PrunedCount: v.prunedCount, Tasks: []provider.TaskStatus{}}
	for _, key := range v.taskOrder {
		if t := v.tasks[key]; t != nil {
			out.Tasks = append(out.Tasks, t.status)
		}
	}
	return out
}

// listEntry returns the VM's entry in the platform's VM list.
func (v *vm) listEntry() provider.VMInfo {
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
