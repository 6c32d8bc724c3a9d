package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// lastingWorkMS is the work of a task that runs until its job is cancelled.
const lastingWorkMS = 1_000_000_000

// Bounds of the small deployment that the stand-ins follow, in milliseconds.
const (
	maxLeaseMS        = 6000
	gangTimeoutMS     = 3000
	heartbeatMS       = 1500
	maxFinishedInPoll = 500
)

// spec is what the jobs of the cases carry as their opaque spec: how their tasks behave.
type spec struct {
	// WorkMS is how long a task works.
	WorkMS int64 `json:"work-ms"`
	// FailFirstMS, if set, is when the first run of each task ends as failed.
	FailFirstMS int64 `json:"fail-first-ms,omitempty"`
	// Gang is the number of members of a step that only works together; 0 for none.
	Gang int `json:"gang,omitempty"`
}

// fleet is the platform's workers. They share what is known of gangs, and the record.
type fleet struct {
	store *emulator.Store
	rec   *record
	// quiet leaves starts and ends out of the record.
	quiet bool

	mu      sync.Mutex
	workers []*worker
	// gangs holds the present members of each attempt of a gang, by ID.K.STEP/ATTEMPT.
	gangs map[string]map[*run]bool
	// starts and ends are all that has happened to runs, in order.
	starts []startEvent
	ends   []endEvent
	// noted holds the first end as done of each task that was taken note of.
	noted map[string]notedEnd
}

type notedEnd struct {
	worker   string
	done     time.Time
	lastSeen int64
}

type startEvent struct {
	at      time.Time
	worker  string
	task    string
	attempt int
}

type endEvent struct {
	at      time.Time
	worker  string
	task    string
	attempt int
	how     string
	started time.Time
}

// worker is one VM's worker. All of its fields are guarded by the fleet's lock.
type worker struct {
	fleet   *fleet
	id      string
	service string
	labels  []string
	cpu     int64
	machine string
	address string
	server  *http.Server

	// cut workers run on and answer no entry; shedding ones reject starts.
	cut      bool
	shedding bool
	// clockBack is how far the worker's time of day is behind.
	clockBack time.Duration
	// lateStarts delays starts: they get no answer, and are carried out so much later by
	// whichever life the worker then has.
	lateStarts time.Duration
	// lastTold is the task of the last start that is to be carried out late.
	lastTold string
	// moving ones join another pool soon.
	moving bool

	// boot is the present life; what follows is lost with it.
	boot     int
	born     time.Time
	token    int64
	deadline int64
	active   map[string]*run
	highest  map[string]int
	finished []finishedRun
	count    int64
	down     bool
	// dark is set if the last life ended by a loss of power: channels stay silent.
	dark bool
	stop chan struct{}
}

type run struct {
	worker  *worker
	boot    int
	task    string
	gang    string
	attempt int
	spec    spec
	started time.Time
	// working is since when it works: a gang's members wait for each other.
	working time.Time
}

type finishedRun struct {
	number  int64
	task    string
	attempt int
	how     string
	at      time.Time
	// lapsed is set once the worker's lease has lapsed since.
	lapsed bool
}

func newFleet(store *emulator.Store, rec *record) *fleet {
	f := &fleet{store: store, rec: rec, gangs: map[string]map[*run]bool{}, noted: map[string]notedEnd{}}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			f.mu.Lock()
			f.endDue(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// add starts a worker.
func (f *fleet) add(id, service string, cpu int64, labels ...string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, machine: "m-" + id, service: service, cpu: cpu, labels: labels, address: l.Addr().String()}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	w.reboot()
	f.mu.Unlock()
	w.server = &http.Server{Handler: w, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		return context.WithValue(ctx, bootKey{}, w.boot)
	}}
	go func() { _ = w.server.Serve(l) }()
	go func() {
		w.register()
		for range time.Tick(heartbeatMS * time.Millisecond) {
			w.register()
		}
	}()
	return w, nil
}

// reboot begins a life that knows nothing of earlier ones. The lock is held.
func (w *worker) reboot() {
	if w.stop != nil {
		close(w.stop)
	}
	w.boot++
	w.born, w.token, w.deadline, w.count = time.Now(), 0, 0, 0
	w.active, w.highest, w.finished, w.down = map[string]*run{}, map[string]int{}, nil, false
	w.stop = make(chan struct{})
}

// crash ends the worker's process; without power its channels stay silent.
func (w *worker) crash(dark bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.dark = dark
	w.leave()
	f.rec.note("%s crashes; without power: %t", w.id, dark)
}

// restart starts the worker again under its ID.
func (w *worker) restart() {
	w.fleet.mu.Lock()
	w.reboot()
	w.fleet.mu.Unlock()
	w.fleet.rec.note("%s starts again under its ID", w.id)
	time.AfterFunc(firstReport, w.register)
}

// moveTime is how long a machine is away when it moves.
const moveTime = 1500 * time.Millisecond

// move ends everything on the machine; a new worker joins the pool some time later.
func (f *fleet) move(machine, pool string) (status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		switch {
		case w.machine != machine:
			continue
		case w.moving:
			return http.StatusConflict, "busy"
		case w.service == pool:
			return http.StatusOK, ""
		}
		w.leave()
		w.moving, w.service = true, pool
		f.store.PutRaw("keyed.servers", w.id, nil)
		time.AfterFunc(moveTime, func() {
			f.mu.Lock()
			w.id += "x"
			w.moving = false
			w.reboot()
			f.mu.Unlock()
			w.register()
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// leave ends everything that runs on the worker; nothing of it is listed later. The lock
// is held.
func (w *worker) leave() {
	for _, r := range w.active {
		w.fleet.leaveGang(r, "broken")
		w.fleet.recordEnd(r, "lost with its worker")
	}
	w.active, w.down = map[string]*run{}, true
	close(w.stop)
	w.stop = nil
}

func (w *worker) set(change func(w *worker), what string) {
	w.fleet.mu.Lock()
	change(w)
	w.fleet.mu.Unlock()
	w.fleet.rec.note("%s: %s", w.id, what)
}

// register writes the worker's status report.
func (w *worker) register() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.down || w.boot > 1 && time.Since(w.born) < firstReport {
		return
	}
	w.fleet.store.Put("keyed.servers", w.id, map[string]any{
		"service": w.service, "addr": w.address, "zone": "porto-a", "version": "v1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem-mb": 65536, "gpu": 0}, "machine": w.machine,
		"labels": w.labels, "sequence": time.Since(w.born).Milliseconds()/heartbeatMS + 1, "born": w.bornMillis(),
	})
}

// bornMillis is the start of the worker's life by its own time of day.
func (w *worker) bornMillis() int64 { return w.born.Add(-w.clockBack).UnixMilli() }

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// endDue ends what is done, what waits alone and what has lost its lease. The lock is held.
func (f *fleet) endDue(now time.Time) {
	for _, w := range f.workers {
		if w.deadline < w.clock() {
			for i := range w.finished {
				w.finished[i].lapsed = true
			}
		}
		for _, r := range w.active {
			switch {
			case w.active[r.task] != r:
			case w.deadline < w.clock():
				f.end(r, "lapsed")
			case r.spec.FailFirstMS > 0 && r.attempt == 1:
				if now.Sub(r.started).Milliseconds() >= r.spec.FailFirstMS {
					f.end(r, "failed")
				}
			case r.working.IsZero():
				if now.Sub(r.started).Milliseconds() >= gangTimeoutMS {
					f.end(r, "alone")
				}
			case now.Sub(r.working).Milliseconds() >= r.spec.WorkMS:
				f.end(r, "done")
			}
		}
	}
}

// end ends a run, and with it the other members of its gang. The lock is held.
func (f *fleet) end(r *run, how string) {
	w := r.worker
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.count++
	w.finished = append(w.finished, finishedRun{number: w.count, task: r.task, attempt: r.attempt, how: how, at: time.Now()})
	f.recordEnd(r, how)
	if how == "done" {
		f.leaveGang(r, "done")
	} else if !r.working.IsZero() {
		f.leaveGang(r, "broken")
	} else if r.gang != "" {
		delete(f.gangs[r.gang], r)
	}
}

// leaveGang ends the other members of the run's gang as how. The lock is held.
func (f *fleet) leaveGang(r *run, how string) {
	if r.gang == "" || r.working.IsZero() {
		return
	}
	members := f.gangs[r.gang]
	delete(f.gangs, r.gang)
	for other := range members {
		if other != r && other.worker.active[other.task] == other {
			f.end(other, how)
		}
	}
}

func (f *fleet) recordEnd(r *run, how string) {
	f.ends = append(f.ends, endEvent{at: time.Now(), worker: r.worker.id, task: r.task, attempt: r.attempt, how: how, started: r.started})
	if !f.quiet {
		f.rec.note("%s: run %d of %s ends: %s", r.worker.id, r.attempt, r.task, how)
	}
}

// bootKey is the context's key of the life in which a channel was opened.
type bootKey struct{}

// firstReport is when the first status report of a worker that has started again is seen
// in the store: the site file has a lag of 0.8 s.
const firstReport = 800 * time.Millisecond

type request struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	silent, down, stop, boot := w.cut || w.down && w.dark, w.down, w.stop, w.boot
	w.fleet.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	// A channel of an earlier life is reset once something is sent on it.
	if down || r.Context().Value(bootKey{}) != boot {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.fleet.mu.Lock()
	delay := w.lateStarts
	w.fleet.mu.Unlock()
	if delay > 0 && r.URL.Path == "/run-start" {
		w.carryOutLate(r, req, delay)
		<-r.Context().Done()
		return
	}
	status, body := w.serve(r, req, stop)
	w.fleet.mu.Lock()
	lost, silent := w.cut || w.down || w.boot != boot, w.cut || w.dark
	w.fleet.mu.Unlock()
	if lost && silent {
		<-r.Context().Done()
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// carryOutLate carries the start out after the delay.
func (w *worker) carryOutLate(r *http.Request, req request, delay time.Duration) {
	w.fleet.rec.note("%s: the start of run %d of %s gets no answer", w.id, req.Attempt, req.Task)
	w.fleet.mu.Lock()
	w.lastTold = req.Task
	w.fleet.mu.Unlock()
	late := r.Clone(context.Background())
	time.AfterFunc(delay, func() {
		status, body := w.serve(late, req, nil)
		w.fleet.rec.note("%s: the late start of run %d of %s: %d %v", w.id, req.Attempt, req.Task, status, body["reason"])
	})
}

func (w *worker) serve(r *http.Request, req request, stop <-chan struct{}) (int, map[string]any) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := func(status int, reason string) (int, map[string]any) {
		body := map[string]any{"clock-ms": w.clock(), "born": w.bornMillis()}
		if reason != "" {
			body["reason"] = reason
		}
		return status, body
	}
	if req.Token < w.token {
		return reply(http.StatusConflict, "fence")
	}
	w.token = req.Token
	f.endDue(time.Now())
	switch r.URL.Path {
	case "/run-start":
		return w.start(req, reply)
	case "/run-stop":
		w.highest[req.Task] = max(w.highest[req.Task], req.Attempt)
		if known := w.active[req.Task]; known != nil && known.attempt <= req.Attempt {
			f.end(known, "stopped")
		}
		return reply(http.StatusOK, "")
	case "/hold":
		return w.hold(r, req, stop, reply)
	case "/pace":
		return reply(http.StatusOK, "")
	}
	return reply(http.StatusNotFound, "")
}

type replier func(status int, reason string) (int, map[string]any)

func (w *worker) start(req request, reply replier) (int, map[string]any) {
	f := w.fleet
	if w.shedding {
		f.rec.note("%s answers 503 to the start of run %d of %s", w.id, req.Attempt, req.Task)
		return reply(http.StatusServiceUnavailable, "")
	}
	if req.Deadline < w.clock() {
		return reply(http.StatusConflict, "late")
	}
	w.deadline = max(w.deadline, min(req.Deadline, w.clock()+maxLeaseMS))
	if known := w.active[req.Task]; known != nil {
		if known.attempt == req.Attempt {
			return reply(http.StatusOK, "")
		}
		return reply(http.StatusConflict, "old")
	}
	if req.Attempt <= w.highest[req.Task] {
		return reply(http.StatusConflict, "old")
	}
	r := &run{worker: w, boot: w.boot, task: req.Task, attempt: req.Attempt, started: time.Now()}
	if err := json.Unmarshal([]byte(req.Spec), &r.spec); err != nil {
		return reply(http.StatusBadRequest, "")
	}
	w.active[req.Task] = r
	f.starts = append(f.starts, startEvent{at: r.started, worker: w.id, task: r.task, attempt: r.attempt})
	if !f.quiet {
		f.rec.note("%s: run %d of %s starts (fence number %d)", w.id, r.attempt, r.task, req.Token)
	}
	if r.spec.Gang == 0 {
		r.working = r.started
		return reply(http.StatusOK, "")
	}
	r.gang = fmt.Sprintf("%s/%d", stepOf(r.task), r.attempt)
	members := f.gangs[r.gang]
	if members == nil {
		members = map[*run]bool{}
		f.gangs[r.gang] = members
	}
	members[r] = true
	if len(members) == r.spec.Gang {
		for member := range members {
			member.working = r.started
		}
	}
	return reply(http.StatusOK, "")
}

func (w *worker) hold(r *http.Request, req request, stop <-chan struct{}, reply replier) (int, map[string]any) {
	f := w.fleet
	if req.Deadline > 0 {
		w.deadline = max(w.deadline, min(req.Deadline, w.clock()+maxLeaseMS))
	}
	for len(w.finished) > 0 && w.finished[0].number <= req.LastSeen {
		end := w.finished[0]
		if _, known := f.noted[end.task]; !known && end.how == "done" && !end.lapsed {
			f.noted[end.task] = notedEnd{worker: w.id, done: end.at, lastSeen: req.LastSeen}
		}
		w.finished = w.finished[1:]
	}
	until := time.Now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	for count := w.count; len(w.finished) == 0 && w.count == count && time.Now().Before(until); {
		f.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-stop:
		case <-time.After(5 * time.Millisecond):
		}
		f.mu.Lock()
		if w.down || w.cut || r.Context().Err() != nil {
			break
		}
		f.endDue(time.Now())
	}
	active, finished := [][]any{}, [][]any{}
	for _, known := range w.active {
		percent := int64(0)
		if !known.working.IsZero() {
			percent = min(99, 100*time.Since(known.working).Milliseconds()/max(1, known.spec.WorkMS))
			if known.spec.WorkMS == lastingWorkMS {
				percent = 100
			}
		}
		active = append(active, []any{known.task, known.attempt, "", percent, 1000})
	}
	for _, end := range w.finished[:min(len(w.finished), maxFinishedInPoll)] {
		finished = append(finished, []any{end.number, end.task, end.attempt, end.how, ""})
	}
	status, body := reply(http.StatusOK, "")
	body["active"], body["finished"] = active, finished
	return status, body
}

// stepOf returns the ID.K.STEP of a task's name.
func stepOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}
