package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is what a worker's report says of it.
type kind struct {
	labels []string
	cpu    int64
}

// worker is one worker of the stand-in. A crash ends its life, and restart begins the next
// one under the same ID and address.
type worker struct {
	bed     *bed
	id      string
	service string
	machine string
	address string

	mu   sync.Mutex
	life *life
	// cut workers run on, but nothing reaches them or leaves them.
	cut bool
	// silent is closed when the cut ends.
	silent chan struct{}
}

// life is one boot of a worker.
type life struct {
	kind     kind
	born     time.Time
	token    int64
	deadline int64
	sequence int64
	active   map[string]*run
	barred   map[string]int
	finished []end
	ends     int64
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	over     chan struct{}
}

type run struct {
	task      string
	attempt   int
	spec      string
	startedAt time.Time
	endsAt    time.Time
	lasting   bool
	cpu       int64
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// boot begins a life. The worker's entry in the store follows after firstBeat, and then
// every heartbeat.
func (w *worker) boot(k kind, firstBeat time.Duration) {
	listener, err := net.Listen("tcp", w.address)
	must(err)
	w.address = listener.Addr().String()
	l := &life{kind: k, born: time.Now(), active: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}), listener: listener, over: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(l, rw, r) })}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go w.beat(l, firstBeat)
	go w.age(l)
	w.bed.note("worker %s starts, labels %v, %d millicores, born %d", w.id, k.labels, k.cpu, l.born.UnixMilli())
}

// beat writes the worker's entry until the life is over, and removes it after three missed
// reports.
func (w *worker) beat(l *life, first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-l.over:
			return
		case <-timer.C:
		}
		timer.Reset(heartbeat)
		w.mu.Lock()
		cut := w.cut
		l.sequence++
		sequence := l.sequence
		w.mu.Unlock()
		if cut {
			continue
		}
		w.bed.store.Put("keyed.servers", w.id, map[string]any{
			"service": w.service, "addr": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "machine": w.machine,
			"cold-left-ms": 0, "capacity": map[string]int64{"cpu": l.kind.cpu, "mem-mb": 65536, "gpu": 0},
			"labels": l.kind.labels, "clock-ms": l.clock(), "sequence": sequence, "born": l.born.UnixMilli(),
		})
	}
}

// age ends the runs that are due, and those whose lease has expired.
func (w *worker) age(l *life) {
	for {
		select {
		case <-l.over:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range l.active {
			switch {
			case l.clock() > l.deadline:
				w.finish(l, r, "lapsed")
			case !r.lasting && !now.Before(r.endsAt):
				w.finish(l, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run. The lock is held.
func (w *worker) finish(l *life, r *run, how string) {
	delete(l.active, r.task)
	l.barred[r.task] = max(l.barred[r.task], r.attempt)
	l.ends++
	l.finished = append(l.finished, end{number: l.ends, task: r.task, attempt: r.attempt, how: how})
	close(l.changed)
	l.changed = make(chan struct{})
	w.bed.ended(w, r, how)
}

// crash ends the life: the process is gone, and with it all that it ran.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	close(l.over)
	runs := l.active
	l.active = map[string]*run{}
	w.mu.Unlock()
	_ = l.server.Close()
	w.bed.note("worker %s crashes", w.id)
	for _, r := range runs {
		w.bed.ended(w, r, "crashed")
	}
}

// disconnect cuts the worker off from all others; it runs on.
func (w *worker) disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut, w.silent = true, make(chan struct{})
	w.bed.note("worker %s is cut off", w.id)
}

// reconnect ends the cut.
func (w *worker) reconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = false
	close(w.silent)
	w.bed.note("worker %s is reached again", w.id)
}

type call struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
	Ticket   string `json:"ticket"`
}

func (w *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.swallowed(r) {
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := http.StatusNotFound, map[string]any{}
	switch r.URL.Path {
	case "/run-start":
		status, body = w.start(l, c)
	case "/run-stop":
		status, body = w.stop(l, c)
	case "/hold":
		status, body = w.hold(l, c, r)
	case "/pace":
		status = http.StatusOK
	}
	if w.swallowed(r) {
		return
	}
	body["clock-ms"], body["born"] = l.clock(), l.born.UnixMilli()
	raw, err := json.Marshal(body)
	must(err)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// swallowed holds a call that a cut keeps from arriving or from being answered until its
// caller gives up, and reports whether there was a cut.
func (w *worker) swallowed(r *http.Request) bool {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if !cut {
		return false
	}
	<-r.Context().Done()
	return true
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit applies the call's fencing token. The lock is held.
func (l *life) admit(token int64) bool {
	if token < l.token {
		return false
	}
	l.token = token
	return true
}

// extend applies a deadline, shortened to the longest lease. The lock is held.
func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(l *life, c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.admit(c.Token) {
		return refusal("fence")
	}
	if c.Deadline < l.clock() {
		return refusal("late")
	}
	l.extend(c.Deadline)
	if r, found := l.active[c.Task]; found && r.attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	} else if found {
		return refusal("old")
	}
	if c.Attempt <= l.barred[c.Task] {
		return refusal("old")
	}
	if w.bed.tickets != nil && !w.bed.tickets.valid(w.id, l.born, c.Ticket) {
		w.bed.refusedTicket(w, c)
		return refusal("ticket")
	}
	r := w.bed.newRun(c)
	l.active[c.Task] = r
	w.bed.started(w, l, r)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(l *life, c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.admit(c.Token) {
		return refusal("fence")
	}
	l.barred[c.Task] = max(l.barred[c.Task], c.Attempt)
	if r, found := l.active[c.Task]; found && r.attempt <= c.Attempt {
		w.finish(l, r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(l *life, c call, r *http.Request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.admit(c.Token) {
		return refusal("fence")
	}
	l.extend(c.Deadline)
	l.finished = slices.DeleteFunc(l.finished, func(e end) bool {
		if e.number <= c.LastSeen {
			w.bed.noted(e)
		}
		return e.number <= c.LastSeen
	})
	until := time.After(time.Duration(c.Wait) * time.Millisecond)
	for waiting := c.Wait > 0; waiting && len(l.finished) == 0; {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, run := range l.active {
		percent := 100
		if !run.lasting {
			percent = int(100 * time.Since(run.startedAt) / max(1, run.endsAt.Sub(run.startedAt)))
		}
		active = append(active, []any{run.task, run.attempt, "", min(percent, 99+boolInt(run.lasting)), run.cpu})
	}
	for _, e := range l.finished {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"active": active, "finished": finished}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (l *life) hasLabel(label string) bool { return slices.Contains(l.kind.labels, label) }

// jobOf returns the job of a work item.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("the case cannot run: %v", err))
	}
}
