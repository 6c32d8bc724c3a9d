package emulator

import (
	"net/http"
	"time"
)

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, call workerCall) {
	until := time.Now().Add(time.Duration(call.Wait) * time.Millisecond)
	w.mu.Lock()
	if w.fenced(call.Token) {
		w.answer(rw, http.StatusConflict, "fence")
		w.mu.Unlock()
		return
	}
	w.settle()
	w.deadline = max(w.deadline, call.Deadline)
	for len(w.finished) > 0 && w.finished[0].number <= call.LastSeen {
		w.fleet.noted(w.finished[0])
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.mu.Unlock()
		const poll = 5 * time.Millisecond
		time.Sleep(poll)
		w.mu.Lock()
		w.settle()
	}
	active, ended := [][]any{}, [][]any{}
	for task, r := range w.active {
		percent := 100
		if !r.lasting && r.takes > 0 {
			percent = int(100 * time.Since(r.began) / r.takes)
		}
		active = append(active, []any{task, r.attempt, "", percent, r.cpu})
	}
	for _, f := range w.finished {
		ended = append(ended, []any{f.number, f.task, f.attempt, f.how, ""})
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.born, "active": active, "finished": ended}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
