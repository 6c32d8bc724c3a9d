package main

import (
	"encoding/json"
	"fmt"
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
}

type run struct {
	attempt int
	until   time.Time
}

// startWorker starts a worker and registers it in the store.
func startWorker(s *store, rec *record, name, pool, zone, rack string, milliCPU int64, duration time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: name, addr: l.Addr().String(), pool: pool, zone: zone, rack: rack, milliCPU: milliCPU, duration: duration, born: time.Now(), record: rec,
		active: map[string]*run{}, highest: map[string]int{}}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(l) }()
	go func() {
		for sequence := 1; ; sequence++ {
			s.put("keyed.servers", w.id, map[string]any{
				"service": pool, "addr": w.addr, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
				"capacity": map[string]int64{"cpu": milliCPU, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", rack},
				"machine": "m-" + name, "sequence": sequence, "born": w.born.UnixMilli(),
			})
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return w, nil
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
		if running, found := w.active[call.Task]; found && running.attempt <= call.Attempt {
			w.end(call.Task, "stopped")
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
	w.active[call.Task] = &run{attempt: call.Attempt, until: time.Now().Add(w.duration)}
	w.record.started(w.id, call.Task, call.Attempt)
	w.answer(rw, http.StatusOK, "")
}

// end ends a run and lists its end. The lock is held.
func (w *worker) end(task, how string) {
	running := w.active[task]
	delete(w.active, task)
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, running.attempt, how, ""})
	w.highest[task] = max(w.highest[task], running.attempt)
	w.record.ended(w.id, task, running.attempt, how)
}

// update ends the runs that are done or whose lease has expired. The lock is held.
func (w *worker) update() {
	now, lapsed := time.Now(), w.clock() > w.deadline
	for task, running := range w.active {
		switch {
		case !now.Before(running.until):
			w.end(task, "done")
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
		w.update()
	}
	active := [][]any{}
	for task, running := range w.active {
		left := time.Until(running.until)
		active = append(active, []any{task, running.attempt, "", 100 - int(100*left/max(w.duration, 1)), 1000})
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

func (w *worker) String() string { return fmt.Sprintf("worker %s at %s", w.id, w.addr) }
