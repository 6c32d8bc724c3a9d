package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// WorkerFault is a fault that a worker applies to a request.
type WorkerFault int

// Faults of workers.
const (
	// WorkerOK serves the request.
	WorkerOK WorkerFault = iota
	// WorkerDropsReply executes the request and does not respond.
	WorkerDropsReply
	// WorkerDelayed does not respond and executes the request later.
	WorkerDelayed
	// WorkerHangs neither executes the request nor responds.
	WorkerHangs
	// WorkerRejects rejects the request without effect.
	WorkerRejects
	// WorkerRepliesLate executes the request and responds later.
	WorkerRepliesLate
)

const (
	// executionDelay is the delay before a delayed request executes.
	executionDelay = 1500 * time.Millisecond
	// lateReplyDelay is the delay before a late response.
	lateReplyDelay = 700 * time.Millisecond
)

// Violation is an invariant violation seen by a worker.
type Violation struct {
	Worker      string
	Task        string
	Description string
}

// Worker runs tasks as the platform's workers do: it checks fencing tokens and
// leases, and retains each outcome until it is acknowledged.
type Worker struct {
	id              string
	startedAtMillis int64
	milliCPU        int64
	maxLease        time.Duration

	mu      sync.Mutex
	fleet   *Fleet
	started time.Time
	token   int64
	active  map[string]*run
	// highestAttempt is the highest stopped or finished attempt of each task.
	highestAttempt map[string]int
	finished       []finishedRun
	outcomeCount   int64
	stopped        chan struct{}
	fault          func(path string) WorkerFault
	// ended workers execute nothing: their process has gone.
	ended bool
	// deadline is the end of all leases, on the worker's clock. The fleet reads it
	// without the lock.
	deadline atomic.Int64
	cut      atomic.Pointer[cut]
}

type run struct {
	attempt     int
	startedAt   time.Time
	duration    time.Duration
	cpu         int64
	longRunning bool
	fails       bool
}

type finishedRun struct {
	number  int64
	task    string
	attempt int
	outcome string
}

func newWorker(f *Fleet, id string, milliCPU int64, maxLease time.Duration) *Worker {
	now := time.Now()
	w := &Worker{
		id: id, startedAtMillis: now.UnixMilli(), milliCPU: milliCPU, maxLease: maxLease, fleet: f, started: now,
		active: map[string]*run{}, highestAttempt: map[string]int{}, stopped: make(chan struct{}),
	}
	go w.finishPeriodically()
	return w
}

// finishPeriodically finishes due runs also while no requests arrive.
func (w *Worker) finishPeriodically() {
	const interval = 5 * time.Millisecond
	timer := time.NewTicker(interval)
	defer timer.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-timer.C:
			w.mu.Lock()
			w.finishDueRuns()
			w.mu.Unlock()
		}
	}
}

// SetFault sets the fault of each request; nil serves all.
func (w *Worker) SetFault(fault func(path string) WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

func (w *Worker) clock() int64 { return time.Since(w.started).Milliseconds() }

type workerRequest struct {
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
	var req workerRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.passCut(r) {
		return
	}
	w.mu.Lock()
	fault := WorkerOK
	if w.fault != nil {
		fault = w.fault(r.URL.Path)
	}
	w.mu.Unlock()
	switch fault {
	case WorkerHangs:
		<-r.Context().Done()
	case WorkerRejects:
		rw.WriteHeader(http.StatusServiceUnavailable)
	case WorkerDelayed:
		time.AfterFunc(executionDelay, func() { w.serve(discardResponse{header: http.Header{}}, r, req) })
		<-r.Context().Done()
	case WorkerRepliesLate:
		late := httptest.NewRecorder()
		w.serve(late, r, req)
		time.Sleep(lateReplyDelay)
		w.deliver(rw, r, late)
	case WorkerDropsReply:
		w.serve(discardResponse{header: http.Header{}}, r, req)
		<-r.Context().Done()
	default:
		response := httptest.NewRecorder()
		w.serve(response, r, req)
		w.deliver(rw, r, response)
	}
}

// deliver sends the response, unless a cut keeps it.
func (w *Worker) deliver(rw http.ResponseWriter, r *http.Request, response *httptest.ResponseRecorder) {
	if !w.passCut(r) {
		return
	}
	maps.Copy(rw.Header(), response.Header())
	rw.WriteHeader(response.Code)
	// A disconnected client needs no response.
	_, _ = rw.Write(response.Body.Bytes())
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, req workerRequest) {
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, req)
	case "/run-stop":
		w.serveStop(rw, req)
	case "/hold":
		w.servePoll(rw, r, req)
	case "/pace":
		w.respond(rw, http.StatusOK, "")
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) respond(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock(), "born": w.startedAtMillis}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

// fenced reports whether a higher token has been seen, or the worker has ended, so that
// nobody gets its response. The caller holds w.mu.
func (w *Worker) fenced(token int64) bool {
	if token < w.token || w.ended {
		return true
	}
	w.token = token
	return false
}

// extendLease extends the lease up to the deadline, but not beyond the longest lease. It never
// shortens it. The caller holds w.mu.
func (w *Worker) extendLease(deadline int64) {
	w.deadline.Store(max(w.deadline.Load(), min(deadline, w.clock()+w.maxLease.Milliseconds())))
}

// LeaseRemaining returns how long the worker's runs hold their leases. It is negative once
// they have expired.
func (w *Worker) LeaseRemaining() time.Duration {
	return time.Duration(w.deadline.Load()-w.clock()) * time.Millisecond
}

// finish ends a run and retains its outcome. The caller holds w.mu.
func (w *Worker) finish(task, outcome string) {
	r := w.active[task]
	delete(w.active, task)
	w.outcomeCount++
	w.finished = append(w.finished, finishedRun{number: w.outcomeCount, task: task, attempt: r.attempt, outcome: outcome})
	w.highestAttempt[task] = max(w.highestAttempt[task], r.attempt)
	w.fleet.recordEnd(w, task, outcome)
}

// finishDueRuns ends runs that have completed or whose lease has expired. The
// caller holds w.mu.
func (w *Worker) finishDueRuns() {
	leaseExpired := w.LeaseRemaining() < 0
	for task, r := range w.active {
		completed := !r.longRunning && time.Since(r.startedAt) >= r.duration
		switch {
		case completed && r.fails:
			w.finish(task, "failed")
		case completed:
			w.finish(task, "done")
		case leaseExpired:
			w.finish(task, "lapsed")
		}
	}
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.id }

// String returns the worker's ID and the start time of its incarnation.
func (w *Worker) String() string { return fmt.Sprintf("%s (incarnation %d)", w.id, w.startedAtMillis) }
