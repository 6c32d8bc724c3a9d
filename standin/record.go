package standin

import "sync"

// ExecutionRecord counts what ran on all VMs, independently of what the entries
// report. Tests check the guarantees against it.
type ExecutionRecord struct {
	// Starts counts the starts of each task.
	Starts map[string]int `json:"starts"`
	// MaxRunning is the highest number of concurrent tasks, by team.
	MaxRunning map[string]int `json:"max_running"`
	// Running is the number of running tasks, by team.
	Running map[string]int `json:"running"`
	// InterruptedTasks counts the tasks that a reboot or VM failure interrupted.
	InterruptedTasks int `json:"cut_tasks"`
	// LostTasks counts those of them that a VM failure interrupted.
	LostTasks int `json:"lost_tasks"`
	// StartsWhileDraining counts the starts, rejected ones included, on a VM
	// that had been draining for more than 3 s.
	StartsWhileDraining int `json:"late_starts"`
	// Draining is the number of draining VMs, by the pool that they were created
	// in.
	Draining map[string]int `json:"draining"`
	// MaxDraining is the highest number of concurrently draining VMs, by pool.
	MaxDraining map[string]int `json:"max_draining"`
}

// recorder updates an ExecutionRecord. It is safe for concurrent use.
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

func (r *recorder) taskStarted(task, team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Starts[task]++
	r.record.Running[team]++
	r.record.MaxRunning[team] = max(r.record.MaxRunning[team], r.record.Running[team])
}

func (r *recorder) taskFinished(team string, interrupted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Running[team]--
	if interrupted {
		r.record.InterruptedTasks++
	}
}

func (r *recorder) startWhileDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.StartsWhileDraining++
}

// tasksLost counts tasks that a VM failure interrupted.
func (r *recorder) tasksLost(tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.LostTasks += tasks
}

// drainingChanged adds the change to the number of draining VMs.
func (r *recorder) drainingChanged(pool string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Draining[pool] += change
	r.record.MaxDraining[pool] = max(r.record.MaxDraining[pool], r.record.Draining[pool])
}

// snapshot returns a deep copy of the record.
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
