package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

func (f *fleet) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", f.handleList)
	mux.HandleFunc("GET /v1/record", f.handleRecord)
	mux.HandleFunc("PUT /v1/faults/vms/{vm}", f.handleFaults)
	mux.HandleFunc("POST /vms/{vm}/slots", f.onVM(handleAcquire))
	mux.HandleFunc("DELETE /vms/{vm}/slots/{lease}", f.onVM(handleRelease))
	mux.HandleFunc("POST /vms/{vm}/tasks", f.onVM(handleRun))
	mux.HandleFunc("GET /vms/{vm}/tasks", f.onVM(handleTasks))
	mux.HandleFunc("POST /vms/{vm}/tasks/{task}/stop", f.onVM(handleStop))
	mux.HandleFunc("POST /vms/{vm}/drain", f.onVM(handleDrain))
	mux.HandleFunc("POST /vms/{vm}/return", f.onVM(handleReturn))
	mux.HandleFunc("POST /vms/{vm}/reboot", f.onVM(handleReboot))
}

// onVM finds the VM of the call and applies the switches that concern every
// call to it.
func (f *fleet) onVM(handle func(http.ResponseWriter, *http.Request, *vm)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := f.vms[r.PathValue("vm")]
		if v == nil {
			writeError(w, http.StatusNotFound, provider.CodeNotFound, "no such VM")
			return
		}
		v.mu.Lock()
		faults, thaw := v.faults, v.thaw
		v.mu.Unlock()
		if faults.Failed {
			panic(http.ErrAbortHandler)
		}
		if faults.Frozen {
			select {
			case <-thaw:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		handle(w, r, v)
	}
}

func handleAcquire(w http.ResponseWriter, r *http.Request, v *vm) {
	var req provider.SlotRequest
	if !readJSON(w, r, &req) {
		return
	}
	lease, code := v.acquire(req, time.Now())
	if code != "" {
		writeError(w, http.StatusConflict, code, "the VM grants no slot")
		return
	}
	writeJSON(w, lease)
}

func handleRelease(w http.ResponseWriter, r *http.Request, v *vm) {
	v.release(r.PathValue("lease"))
	w.WriteHeader(http.StatusNoContent)
}

func handleRun(w http.ResponseWriter, r *http.Request, v *vm) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, err.Error())
		return
	}
	attempt, err := strconv.Atoi(r.Header.Get(provider.HeaderAttempt))
	if err != nil {
		writeError(w, http.StatusBadRequest, provider.CodeInvalid, "the attempt must be a number")
		return
	}
	w.Header().Set(provider.HeaderTask, r.Header.Get(provider.HeaderTask))
	w.Header().Set(provider.HeaderAttempt, strconv.Itoa(attempt))
	t := newTask(provider.Task{
		ID:         r.Header.Get(provider.HeaderTask),
		Attempt:    attempt,
		Team:       r.Header.Get(provider.HeaderTeam),
		Holder:     r.Header.Get(provider.HeaderHolder),
		Checkpoint: r.Header.Get(provider.HeaderCheckpoint),
		Body:       body,
	}, time.Now())
	lease := r.Header.Get(provider.HeaderLease)
	if code := v.start(t, lease, time.Now()); code != "" {
		writeError(w, http.StatusConflict, code, "the VM does not start the task")
		return
	}
	v.run(w, r, t, lease, body)
}

// run waits for the task's end and answers. A caller that has gone does not
// stop the task.
func (v *vm) run(w http.ResponseWriter, r *http.Request, t *task, lease string, body []byte) {
	defer t.cancel()
	if left := t.remaining(); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-t.done.Done():
		}
	}
	out := answer(v.info.ID, t, time.Now(), body)
	v.mu.Lock()
	faults := v.faults
	if faults.DropReplies > 0 {
		v.faults.DropReplies--
	}
	previous := v.last
	v.last = out
	v.mu.Unlock()
	state := provider.TaskSucceeded
	switch {
	case t.done.Err() != nil:
		state = provider.TaskStopped
	case faults.FailTasks || t.work.Fail:
		state = provider.TaskFailed
	default:
		v.mu.Lock()
		t.status.Answer = out
		v.mu.Unlock()
	}
	v.finish(t, lease, state, time.Now())
	v.reply(w, r, t, state, faults, out, previous)
}

// reply sends the answer of an ended task, as the switches allow.
func (v *vm) reply(w http.ResponseWriter, r *http.Request, t *task, state provider.TaskState, faults VMFaults, out, previous []byte) {
	if faults.ReplyDelayMS > 0 {
		sleep(r, time.Duration(faults.ReplyDelayMS)*time.Millisecond)
	}
	if faults.DropReplies > 0 || faults.Failed {
		panic(http.ErrAbortHandler)
	}
	crossed := faults.MismatchReplies && previous != nil
	if crossed {
		w.Header().Set(provider.HeaderTask, "crossed-"+t.status.ID)
	}
	switch state {
	case provider.TaskFailed:
		writeOutcome(w, http.StatusInternalServerError, provider.ErrorBody{Code: provider.CodeTaskFailed, Outcome: provider.Failed, Message: "the task failed"})
		return
	case provider.TaskStopped:
		writeOutcome(w, http.StatusConflict, provider.ErrorBody{Code: provider.CodeTaskStopped, Outcome: provider.Failed, Message: t.status.Checkpoint})
		return
	}
	if crossed {
		out = previous
	}
	v.mu.Lock()
	free := v.free(time.Now())
	v.mu.Unlock()
	w.Header().Set(provider.HeaderFreeSlots, strconv.Itoa(free))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if faults.TruncateReplies {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func handleTasks(w http.ResponseWriter, _ *http.Request, v *vm) {
	writeJSON(w, v.list())
}

func handleStop(w http.ResponseWriter, r *http.Request, v *vm) {
	if !v.stop(r.PathValue("task"), r.URL.Query().Get("checkpoint") == "true", time.Now()) {
		writeError(w, http.StatusNotFound, provider.CodeNotFound, "no such task runs")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func handleDrain(w http.ResponseWriter, _ *http.Request, v *vm) {
	v.setDraining(true, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func handleReturn(w http.ResponseWriter, _ *http.Request, v *vm) {
	v.setDraining(false, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func handleReboot(w http.ResponseWriter, r *http.Request, v *vm) {
	var at provider.TaskListPosition
	if !readJSON(w, r, &at) {
		return
	}
	if !v.restart(at, time.Now()) {
		writeError(w, http.StatusConflict, provider.CodeInvalid, "the VM does not drain, or has started tasks since")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
