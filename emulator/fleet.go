package emulator

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fleet is a set of workers, each on a VM, and the VM interface. It records
// violations of the platform's invariants.
type Fleet struct {
	store *Store

	mu             sync.Mutex
	vms            map[string]*machine
	behaviors      map[string]taskBehavior
	runs           map[string]map[*Worker]startedRun
	completedTasks map[string]bool
	starts         map[string]int
	violations     []Violation
	incarnations   int
	closers        []func()
	maxLease       time.Duration
}

// defaultMaxLease is the longest lease in the entries' default settings.
const defaultMaxLease = 6 * time.Second

// startedRun is a run that a worker has started.
type startedRun struct {
	attempt int
	at      time.Time
}

type machine struct {
	name, pool, zone, rack string
	milliCPU               int64
	worker                 *Worker
	address                string
	server                 *http.Server
	state                  string
	startedWaves           map[int64]bool
	// cut is the worker's present cut; nil for none.
	cut *cut
	// unreported means that the worker reports at the end of the cut.
	unreported bool
}

// taskBehavior is how the tasks of a job behave; the job's spec selects it.
type taskBehavior struct {
	duration    time.Duration
	cpu         int64
	longRunning bool
	fails       bool
}

// NewFleet returns an empty fleet whose workers register in the store.
func NewFleet(store *Store) *Fleet {
	return &Fleet{store: store, vms: map[string]*machine{}, behaviors: map[string]taskBehavior{},
		runs: map[string]map[*Worker]startedRun{}, completedTasks: map[string]bool{}, starts: map[string]int{}, maxLease: defaultMaxLease}
}

// SetMaxLease sets the longest lease that the workers added from now on give. They shorten
// longer ones.
func (f *Fleet) SetMaxLease(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLease = d
}

// DefineTasks sets how the tasks of jobs with the spec behave.
func (f *Fleet) DefineTasks(spec string, duration time.Duration, milliCPU int64, longRunning, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviors[spec] = taskBehavior{duration: duration, cpu: milliCPU, longRunning: longRunning, fails: fails}
}

func (f *Fleet) behavior(req workerRequest) taskBehavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behaviors[req.Spec]
}

// AddVM adds a VM with a worker.
func (f *Fleet) AddVM(name, pool, zone, rack string, milliCPU int64) error {
	m := &machine{name: name, pool: pool, zone: zone, rack: rack, milliCPU: milliCPU, state: "up", startedWaves: map[int64]bool{}}
	f.mu.Lock()
	f.vms[name] = m
	f.mu.Unlock()
	return f.boot(m)
}

// boot starts a worker under a new ID and lists it.
func (f *Fleet) boot(m *machine) error {
	f.mu.Lock()
	f.incarnations++
	id := fmt.Sprintf("i-%s-%d", m.name, f.incarnations)
	f.mu.Unlock()
	if _, err := f.startWorker(m, id, "127.0.0.1:0"); err != nil {
		return err
	}
	f.register(m, "ready")
	return nil
}

// startWorker starts an incarnation of the VM's worker.
func (f *Fleet) startWorker(m *machine, id, address string) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	w := newWorker(f, id, m.milliCPU, f.maxLease)
	w.cut.Store(m.cut)
	m.worker, m.address, m.state, m.unreported = w, l.Addr().String(), "up", false
	m.server = &http.Server{Handler: w}
	server := m.server
	f.closers = append(f.closers, func() { _ = server.Close() })
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return w, nil
}

func (f *Fleet) register(m *machine, state string) {
	f.mu.Lock()
	id, record := m.worker.id, map[string]any{
		"service": m.pool, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "capacity": map[string]int64{"cpu": m.milliCPU, "mem-mb": 65536, "gpu": 0},
		"labels": []string{"a", m.rack}, "sequence": 1, "born": m.worker.startedAtMillis,
	}
	f.mu.Unlock()
	f.store.Put("keyed.servers", id, record)
}

// Worker returns the worker that runs on the VM.
func (f *Fleet) Worker(vm string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].worker
}

// Drain makes the VM's worker report that it is draining.
func (f *Fleet) Drain(vm string) {
	f.mu.Lock()
	m := f.vms[vm]
	f.mu.Unlock()
	f.register(m, "draining")
}

// RemoveVM removes the VM and its worker from the platform's lists. The worker's address
// still answers, as one does that another service has taken over.
func (f *Fleet) RemoveVM(vm string) {
	f.mu.Lock()
	id := f.vms[vm].worker.id
	delete(f.vms, vm)
	f.mu.Unlock()
	f.store.PutRaw("keyed.servers", id, nil)
}

// endIncarnation ends the VM's worker, which leaves the list.
func (f *Fleet) endIncarnation(m *machine) {
	f.stopWorker(m)
	f.mu.Lock()
	id := m.worker.id
	f.mu.Unlock()
	f.store.PutRaw("keyed.servers", id, nil)
}

// Close stops all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	closers := f.closers
	f.mu.Unlock()
	for _, closeServer := range closers {
		closeServer()
	}
}

// Violations returns the recorded violations.
func (f *Fleet) Violations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Violation(nil), f.violations...)
}

// Starts returns how many times the task has been started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Running returns the number of active runs of the job's tasks.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, workers := range f.runs {
		if strings.HasPrefix(task, job+".") {
			n += len(workers)
		}
	}
	return n
}

func (f *Fleet) recordViolation(v Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

func (f *Fleet) recordStart(w *Worker, task string, attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task]++
	if f.runs[task] == nil {
		f.runs[task] = map[*Worker]startedRun{}
	}
	for other, r := range f.runs[task] {
		f.violations = append(f.violations, Violation{Worker: w.id, Task: task, Description: fmt.Sprintf(
			"task has two concurrent runs: run %d starts on %s, run %d on %s started %d ms before and has %d ms of its lease left",
			attempt, w, r.attempt, other, time.Since(r.at).Milliseconds(), other.LeaseRemaining().Milliseconds())})
	}
	f.runs[task][w] = startedRun{attempt: attempt, at: time.Now()}
	if f.completedTasks[task] {
		f.violations = append(f.violations, Violation{Worker: w.id, Task: task, Description: "task started after its completion was acknowledged"})
	}
}

func (f *Fleet) recordEnd(w *Worker, task, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs[task], w)
}

func (f *Fleet) recordAcknowledgement(run finishedRun) {
	if run.outcome != "done" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completedTasks[run.task] = true
}
