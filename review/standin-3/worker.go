package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxLease is the longest lease that a worker gives.
const maxLease = 6 * time.Second

// worker runs tasks as the pages say: it checks fence numbers and leases, and lists each end
// until it is acknowledged.
type worker struct {
	id, addr         string
	pool, zone, rack string
	milliCPU         int64
	duration         time.Duration
	born             time.Time
	record           *record

	mu       sync.Mutex
	fence    int64
	deadline int64
	ends     int64
	active   map[string]*run
	highest  map[string]int
	finished [][]any
	// left workers answer nothing.
	left   bool
	store  *store
	server *http.Server
}

// reportInterval is heartbeat-ms: how often a worker writes its entry.
const reportInterval = 1500 * time.Millisecond

type run struct {
	attempt     int
	from, until time.Time
	// how is how the run ends at until.
	how string
	// gang is that of the run; nil for none.
	gang *gang
	// stopped is when a stop takes effect; zero for none.
	stopped time.Time
}

// lasting is the duration from which a run counts as one that lasts.
const lasting = 10 * time.Minute

// stopTime is how long a stop takes: at most stop_ms.
const stopTime = 500 * time.Millisecond

// startWorker starts a worker and registers it in the store.
func startWorker(s *store, rec *record, name, pool, zone, rack string, milliCPU int64, duration time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: name, addr: l.Addr().String(), pool: pool, zone: zone, rack: rack, store: s, milliCPU: milliCPU, duration: duration, born: time.Now(), record: rec,
		active: map[string]*run{}, highest: map[string]int{}}
	server := &http.Server{Handler: w}
	w.server = server
	go func() { _ = server.Serve(l) }()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			w.update()
			w.mu.Unlock()
		}
	}()
	go func() {
		for sequence := 1; !w.hasLeft(); sequence++ {
			s.put("keyed.servers", w.id, w.report(sequence))
			time.Sleep(reportInterval)
		}
	}()
	return w, nil
}

func (w *worker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// report is what the worker writes of itself.
func (w *worker) report(sequence int) map[string]any {
	return map[string]any{
		"service": w.pool, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": w.milliCPU, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack},
		"machine": "m-" + w.id, "sequence": sequence, "born": w.born.UnixMilli(),
	}
}

// crash ends the worker for good. Its entry is removed after three status report intervals of
// silence.
func (w *worker) crash() {
	w.record.logf("%s crashes for good", w.id)
	w.leave()
	time.AfterFunc(3*reportInterval, func() { w.store.put("keyed.servers", w.id, nil) })
}

// leave ends the worker's process and all that runs there.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	for task := range w.active {
		w.end(task, "gone")
	}
	// Nothing is in flight that an error could tell of.
	_ = w.server.Close()
}

// runs returns how many runs the worker has.
func (w *worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

type workerCall struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// machine is the worker's entry in the list of machines.
func (w *worker) machine() map[string]any {
	return map[string]any{"machine": "m-" + w.id, "pool": w.pool, "state": "up", "zone": w.zone, "labels": []string{"a", w.rack},
		"capacity": map[string]int64{"cpu": w.milliCPU, "mem-mb": 65536, "gpu": 0}, "id": w.id}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	if call.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = call.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, call)
	case "/run-stop":
		w.highest[call.Task] = max(w.highest[call.Task], call.Attempt)
		if running, found := w.active[call.Task]; found && running.attempt <= call.Attempt && running.stopped.IsZero() {
			running.stopped = time.Now().Add(stopTime)
		}
		w.answer(rw, http.StatusOK, "")
	case "/hold":
		w.hold(rw, r, call)
	case "/pace":
		w.answer(rw, http.StatusOK, "")
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxLease.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, call workerCall) {
	if call.Deadline < w.clock() {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	w.extend(call.Deadline)
	running, found := w.active[call.Task]
	switch {
	case found && running.attempt == call.Attempt:
		w.answer(rw, http.StatusOK, "")
		return
	case found, call.Attempt <= w.highest[call.Task]:
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	w.active[call.Task] = w.newRun(call)
	w.record.started(w.id, call.Task, call.Attempt)
	w.answer(rw, http.StatusOK, "")
}

// newRun returns the run of the call.
func (w *worker) newRun(call workerCall) *run {
	kind, now := w.record.kindOf(call.Task), time.Now()
	if kind.duration == 0 {
		kind.duration = w.duration
	}
	out := &run{attempt: call.Attempt, from: now, until: now.Add(kind.duration), how: "done"}
	if kind.gang > 0 {
		out.gang = w.record.joinGang(call.Task, call.Attempt, kind)
	}
	return out
}

// end ends a run and lists its end. The lock is held.
func (w *worker) end(task, how string) {
	running := w.active[task]
	delete(w.active, task)
	if running.gang != nil && how != "done" {
		running.gang.leave()
	}
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, running.attempt, how, ""})
	w.highest[task] = max(w.highest[task], running.attempt)
	w.record.ended(w.id, task, running.attempt, how)
}

// update ends the runs that are done or whose lease has expired. The lock is held.
func (w *worker) update() {
	now, lapsed := time.Now(), w.clock() > w.deadline
	for task, running := range w.active {
		if running.gang != nil {
			running.until, running.how = running.gang.end(running.from)
		}
		switch {
		case !now.Before(running.until):
			w.end(task, running.how)
		case !running.stopped.IsZero() && !now.Before(running.stopped):
			w.end(task, "stopped")
		case lapsed:
			w.end(task, "lapsed")
		}
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, call workerCall) {
	until := time.Now().Add(time.Duration(call.Wait) * time.Millisecond)
	w.extend(call.Deadline)
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= call.LastSeen {
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	active := [][]any{}
	for task, running := range w.active {
		percent := int(100 * time.Since(running.from) / max(running.until.Sub(running.from), 1))
		if running.until.Sub(running.from) >= lasting {
			percent = 100 // It is at work after its startup.
		}
		active = append(active, []any{task, running.attempt, "", min(percent, 100), 1000})
	}
	reply(rw, http.StatusOK, map[string]any{
		"clock-ms": w.clock(), "born": w.born.UnixMilli(), "active": active, "finished": append([][]any{}, w.finished[:min(len(w.finished), 500)]...),
	})
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
