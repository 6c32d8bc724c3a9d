package emulator

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fleet is a set of workers, each on a VM, and the interface for VMs. It notes
// which of the platform's promises break.
type Fleet struct {
	store *Store

	mu         sync.Mutex
	vms        map[string]*machine
	specs      map[string]taskSpec
	runs       map[string]map[*Worker]bool
	doneTasks  map[string]bool
	starts     map[string]int
	violations []Violation
	lives      int
	closers    []func()
}

type machine struct {
	name, pool, zone, rack string
	room                   int64
	worker                 *Worker
	address                string
	server                 *http.Server
	state                  string
	maintained             map[int64]bool
}

// taskSpec is how a task behaves, by the spec of its job.
type taskSpec struct {
	takes   time.Duration
	cpu     int64
	lasting bool
	fails   bool
}

// NewFleet returns an empty fleet whose workers register in the store.
func NewFleet(store *Store) *Fleet {
	return &Fleet{store: store, vms: map[string]*machine{}, specs: map[string]taskSpec{},
		runs: map[string]map[*Worker]bool{}, doneTasks: map[string]bool{}, starts: map[string]int{}}
}

// DefineTasks tells how tasks of jobs with the spec behave.
func (f *Fleet) DefineTasks(spec string, takes time.Duration, milliCPU int64, lasting, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[spec] = taskSpec{takes: takes, cpu: milliCPU, lasting: lasting, fails: fails}
}

func (f *Fleet) task(call workerCall) taskSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[call.Spec]
}

// AddVM adds a VM with a worker.
func (f *Fleet) AddVM(name, pool, zone, rack string, milliCPU int64) error {
	m := &machine{name: name, pool: pool, zone: zone, rack: rack, room: milliCPU, state: "up", maintained: map[int64]bool{}}
	f.mu.Lock()
	f.vms[name] = m
	f.mu.Unlock()
	return f.boot(m)
}

// boot starts a new life of the VM's worker.
func (f *Fleet) boot(m *machine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.lives++
	w := newWorker(f, fmt.Sprintf("i-%s-%d", m.name, f.lives), m.room)
	m.worker, m.address, m.state = w, l.Addr().String(), "up"
	m.server = &http.Server{Handler: w}
	server := m.server
	f.closers = append(f.closers, func() { _ = server.Close() })
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	f.register(m, "ready")
	return nil
}

func (f *Fleet) register(m *machine, state string) {
	f.store.Put("keyed.servers", m.worker.id, map[string]any{
		"service": m.pool, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "capacity": map[string]int64{"cpu": m.room, "mem-mb": 65536, "gpu": 0},
		"labels": []string{"a", m.rack}, "sequence": 1, "born": m.worker.born,
	})
}

// Worker returns the worker that lives on the VM.
func (f *Fleet) Worker(vm string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].worker
}

// Drain makes the VM's worker report that it leaves.
func (f *Fleet) Drain(vm string) {
	f.mu.Lock()
	m := f.vms[vm]
	f.mu.Unlock()
	f.register(m, "draining")
}

// Disconnect makes the VM's worker unreachable; what runs there runs on. Heal ends it.
func (f *Fleet) Disconnect(vm string) { f.setDown(vm, true) }

// Reconnect makes the VM's worker reachable again.
func (f *Fleet) Reconnect(vm string) { f.setDown(vm, false) }

func (f *Fleet) setDown(vm string, down bool) {
	w := f.Worker(vm)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// end stops the life on the VM with all that runs there.
func (f *Fleet) end(m *machine) {
	w := m.worker
	w.mu.Lock()
	for task := range w.active {
		w.finish(task, "stopped")
	}
	w.mu.Unlock()
	close(w.over)
	_ = m.server.Close()
	f.store.PutRaw("keyed.servers", w.id, nil)
}

// Close stops all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	closers := f.closers
	f.mu.Unlock()
	for _, do := range closers {
		do()
	}
}

// Violations returns the promises that broke.
func (f *Fleet) Violations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Violation(nil), f.violations...)
}

// Starts returns how often the task has been started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Running returns how many runs there are of tasks of the job.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, on := range f.runs {
		if strings.HasPrefix(task, job+".") {
			n += len(on)
		}
	}
	return n
}

func (f *Fleet) violated(v Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

func (f *Fleet) began(w *Worker, task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task]++
	if f.runs[task] == nil {
		f.runs[task] = map[*Worker]bool{}
	}
	f.runs[task][w] = true
	if len(f.runs[task]) > 1 {
		f.violations = append(f.violations, Violation{Worker: w.id, Task: task, Description: "two runs at once"})
	}
	if f.doneTasks[task] {
		f.violations = append(f.violations, Violation{Worker: w.id, Task: task, Description: "a start after a noted end"})
	}
}

func (f *Fleet) ended(w *Worker, task, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs[task], w)
}

func (f *Fleet) noted(end finished) {
	if end.how != "done" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doneTasks[end.task] = true
}
