package standin

import "sync"

// ExecutionRecord is the stand-in's own account of what ran, over all VMs. Tests hold
// the promises against it.
type ExecutionRecord struct {
	// Starts counts the starts of each task.
	Starts map[string]int `json:"starts"`
	// MaxRunning is the highest number of tasks that ran at once, by team.
	MaxRunning map[string]int `json:"max_running"`
	// Running is the number of tasks that run now, by team.
	Running map[string]int `json:"running"`
	// InterruptedTasks counts the tasks that a reboot or a loss ended.
	InterruptedTasks int `json:"cut_tasks"`
	// LostTasks counts those of them that a loss ended.
	LostTasks int `json:"lost_tasks"`
	// StartsWhileDraining counts the starts, refused ones included, on a VM that was
	// draining for more than 3 s.
	StartsWhileDraining int `json:"late_starts"`
	// Draining is the number of VMs that drain now, by the pool that they were
	// created in.
	Draining map[string]int `json:"draining"`
	// MaxDraining is the highest number of VMs that drained at once, by pool.
	MaxDraining map[string]int `json:"max_draining"`
}

// recorder keeps a Record.
type recorder struct {
	mu     sync.Mutex
	record ExecutionRecord
}

func newRecorder() *recorder {
	return &recorder{record: ExecutionRecord{
		Starts:     make(map[string]int),
		MaxRunning: make(map[string]int),
		Running:    make(map[string]int),

		Draining:    make(map[string]int),
		MaxDraining: make(map[string]int),
	}}
}

func (r *recorder) started(task, team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Starts[task]++
	r.record.Running[team]++
	r.record.MaxRunning[team] = max(r.record.MaxRunning[team], r.record.Running[team])
}

func (r *recorder) ended(team string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Running[team]--
	if cut {
		r.record.InterruptedTasks++
	}
}

// late counts a late start.
func (r *recorder) late() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.StartsWhileDraining++
}

// lost counts the tasks that a loss has ended.
func (r *recorder) lost(tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.LostTasks += tasks
}

// draining counts VMs that begin or end to drain.
func (r *recorder) draining(pool string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Draining[pool] += change
	r.record.MaxDraining[pool] = max(r.record.MaxDraining[pool], r.record.Draining[pool])
}

// snapshot returns a copy of the record.
func (r *recorder) snapshot() ExecutionRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.record
	out.Starts = copyCounts(r.record.Starts)
	out.MaxRunning = copyCounts(r.record.MaxRunning)
	out.Running = copyCounts(r.record.Running)
	out.Draining = copyCounts(r.record.Draining)
	out.MaxDraining = copyCounts(r.record.MaxDraining)
	return out
}

func copyCounts(in map[string]int) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
