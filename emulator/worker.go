package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// WorkerFault is what a worker does to a call.
type WorkerFault int

// Faults of workers.
const (
	// WorkerOK serves the call.
	WorkerOK WorkerFault = iota
	// WorkerDropsReply carries the call out and does not answer.
	WorkerDropsReply
	// WorkerDelayed does not answer and carries the call out later.
	WorkerDelayed
	// WorkerHangs does nothing and does not answer.
	WorkerHangs
	// WorkerRejects answers that nothing was done.
	WorkerRejects
)

// lateBy is after how long a late call is carried out.
const lateBy = 1500 * time.Millisecond

// Violation is a promise that a worker saw broken.
type Violation struct {
	Worker      string
	Task        string
	Description string
}

// Worker runs tasks as the platform's workers do: it fences, holds leases and
// keeps each end until it is told that the end was seen.
type Worker struct {
	id   string
	born int64
	room int64

	mu       sync.Mutex
	fleet    *Fleet
	started  time.Time
	token    int64
	deadline int64
	active   map[string]*run
	// highest is the highest attempt that was stopped or ended, by task.
	highest  map[string]int
	finished []finished
	ends     int64
	over     chan struct{}
	fault    func(path string) WorkerFault
	down     bool
}

type run struct {
	attempt int
	began   time.Time
	takes   time.Duration
	cpu     int64
	lasting bool
	fails   bool
}

type finished struct {
	number  int64
	task    string
	attempt int
	how     string
}

func newWorker(f *Fleet, id string, room int64) *Worker {
	now := time.Now()
	w := &Worker{
		id: id, born: now.UnixMilli(), room: room, fleet: f, started: now,
		active: map[string]*run{}, highest: map[string]int{}, over: make(chan struct{}),
	}
	go w.tick()
	return w
}

// tick ends runs in time, also while nobody calls.
func (w *Worker) tick() {
	const every = 5 * time.Millisecond
	timer := time.NewTicker(every)
	defer timer.Stop()
	for {
		select {
		case <-w.over:
			return
		case <-timer.C:
			w.mu.Lock()
			w.settle()
			w.mu.Unlock()
		}
	}
}

// SetFault sets what happens to each call; nil serves all.
func (w *Worker) SetFault(fault func(path string) WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

func (w *Worker) clock() int64 { return time.Since(w.started).Milliseconds() }

type workerCall struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
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
	fault := WorkerOK
	if w.fault != nil {
		fault = w.fault(r.URL.Path)
	}
	if w.down {
		fault = WorkerHangs
	}
	w.mu.Unlock()
	switch fault {
	case WorkerHangs:
		<-r.Context().Done()
	case WorkerRejects:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case WorkerDelayed:
		time.AfterFunc(lateBy, func() { w.serve(discard{header: http.Header{}}, r, call) })
		<-r.Context().Done()
	case WorkerDropsReply:
		w.serve(discard{header: http.Header{}}, r, call)
		<-r.Context().Done()
	default:
		w.serve(rw, r, call)
	}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, call workerCall) {
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, call)
	case "/run-stop":
		w.stop(rw, call)
	case "/hold":
		w.hold(rw, r, call)
	case "/pace":
		w.answer(rw, http.StatusOK, "")
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

// fenced reports whether a higher token has been seen. The lock is held.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) start(rw http.ResponseWriter, call workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if w.fenced(call.Token) {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	if call.Deadline < w.clock() {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	w.deadline = max(w.deadline, call.Deadline)
	if existing, there := w.active[call.Task]; there {
		if existing.attempt == call.Attempt {
			w.answer(rw, http.StatusOK, "")
		} else {
			w.answer(rw, http.StatusConflict, "old")
		}
		return
	}
	if call.Attempt <= w.highest[call.Task] {
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	task := w.fleet.task(call)
	w.active[call.Task] = &run{attempt: call.Attempt, began: time.Now(), takes: task.takes, cpu: task.cpu, lasting: task.lasting, fails: task.fails}
	w.fleet.began(w, call.Task)
	used := int64(0)
	for _, r := range w.active {
		used += r.cpu
	}
	if used > w.room {
		w.fleet.violated(Violation{Worker: w.id, Task: call.Task, Description: "over the worker's room"})
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *Worker) stop(rw http.ResponseWriter, call workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if w.fenced(call.Token) {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.highest[call.Task] = max(w.highest[call.Task], call.Attempt)
	if r, there := w.active[call.Task]; there && r.attempt <= call.Attempt {
		w.finish(call.Task, "stopped")
	}
	w.answer(rw, http.StatusOK, "")
}

// finish ends a run and keeps the end. The lock is held.
func (w *Worker) finish(task, how string) {
	r := w.active[task]
	delete(w.active, task)
	w.ends++
	w.finished = append(w.finished, finished{number: w.ends, task: task, attempt: r.attempt, how: how})
	w.highest[task] = max(w.highest[task], r.attempt)
	w.fleet.ended(w, task, how)
}

// settle ends the runs whose time has come. The lock is held.
func (w *Worker) settle() {
	lapsed := w.deadline < w.clock()
	for task, r := range w.active {
		over := !r.lasting && time.Since(r.began) >= r.takes
		switch {
		case over && r.fails:
			w.finish(task, "failed")
		case over:
			w.finish(task, "done")
		case lapsed:
			w.finish(task, "lapsed")
		}
	}
}
