package emulator

import (
	"net/http"
	"time"
)

func (w *Worker) servePoll(rw http.ResponseWriter, r *http.Request, req workerRequest) {
	until := time.Now().Add(time.Duration(req.Wait) * time.Millisecond)
	w.mu.Lock()
	if w.fenced(req.Token) {
		w.respond(rw, http.StatusConflict, "fence")
		w.mu.Unlock()
		return
	}
	w.finishDueRuns()
	w.extendLease(req.Deadline)
	for len(w.finished) > 0 && w.finished[0].number <= req.LastSeen {
		w.fleet.recordAcknowledgement(w.finished[0])
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.mu.Unlock()
		const pollInterval = 5 * time.Millisecond
		time.Sleep(pollInterval)
		w.mu.Lock()
		w.finishDueRuns()
	}
	active, finished := [][]any{}, [][]any{}
	for task, r := range w.active {
		percent := 100
		if !r.longRunning && r.duration > 0 {
			percent = int(100 * time.Since(r.startedAt) / r.duration)
		}
		active = append(active, []any{task, r.attempt, "", percent, r.cpu})
	}
	for _, f := range w.finished {
		finished = append(finished, []any{f.number, f.task, f.attempt, f.outcome, ""})
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.startedAtMillis, "active": active, "finished": finished}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
