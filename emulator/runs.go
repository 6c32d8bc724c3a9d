package emulator

import (
	"net/http"
	"time"
)

func (w *Worker) serveStart(rw http.ResponseWriter, req workerRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDueRuns()
	if w.fenced(req.Token) {
		w.respond(rw, http.StatusConflict, "fence")
		return
	}
	if req.Deadline < w.clock() {
		w.respond(rw, http.StatusConflict, "late")
		return
	}
	w.extendLease(req.Deadline)
	if existing, found := w.active[req.Task]; found {
		if existing.attempt == req.Attempt {
			w.respond(rw, http.StatusOK, "")
		} else {
			w.respond(rw, http.StatusConflict, "old")
		}
		return
	}
	if req.Attempt <= w.highestAttempt[req.Task] {
		w.respond(rw, http.StatusConflict, "old")
		return
	}
	behavior := w.fleet.behavior(req)
	w.active[req.Task] = &run{attempt: req.Attempt, startedAt: time.Now(), duration: behavior.duration, cpu: behavior.cpu, longRunning: behavior.longRunning, fails: behavior.fails}
	w.fleet.recordStart(w, req.Task, req.Attempt)
	used := int64(0)
	for _, r := range w.active {
		used += r.cpu
	}
	if used > w.milliCPU {
		w.fleet.recordViolation(Violation{Worker: w.id, Task: req.Task, Description: "worker capacity exceeded"})
	}
	w.respond(rw, http.StatusOK, "")
}

func (w *Worker) serveStop(rw http.ResponseWriter, req workerRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDueRuns()
	if w.fenced(req.Token) {
		w.respond(rw, http.StatusConflict, "fence")
		return
	}
	w.highestAttempt[req.Task] = max(w.highestAttempt[req.Task], req.Attempt)
	if r, found := w.active[req.Task]; found && r.attempt <= req.Attempt {
		w.finish(req.Task, "stopped")
	}
	w.respond(rw, http.StatusOK, "")
}
