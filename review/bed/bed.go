package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/freeport"
)

// Figures of a small deployment, as its pages name them.
const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	stopMS    = 200
	host      = "pule25.example"
	prefix    = "/puxa400/"
	key       = "sjnbanfqasnmgkcuyj8p"
	entries   = 3
)

// bed is a small deployment: the platform and the workers are stand-ins in this process, the
// entries are processes of their own.
type bed struct {
	store   *emulator.Store
	tickets *ticketOffice
	dir     string
	record  *os.File
	began   time.Time

	mu      sync.Mutex
	workers []*worker
	calls   []string
	procs   []*exec.Cmd
	// settings holds the path of each entry's settings.
	settings []string
	// jobs holds what the clients sent, by job.
	jobs map[string]job
	// running holds the workers with a run of each work item.
	running map[string]map[*worker]*run
	// lastEnd is when the last run of each work item ended.
	lastEnd  map[string]time.Time
	refused  int
	breaches []string
	// killed counts how often each entry held more than its machine has.
	killed [entries]int

	// stop ends the guards of the entries' memory.
	stop   chan struct{}
	guards sync.WaitGroup
	over   sync.Once
}

// job is a job as its client knows it.
type job struct {
	spec       string
	constraint string
	cpu        int64
	lasting    bool
	duration   time.Duration
}

func newBed(dir string) *bed {
	temp, err := os.MkdirTemp("", "review-bed")
	must(err)
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	return &bed{store: emulator.NewStore(), dir: temp, record: record, began: time.Now(), jobs: map[string]job{},
		running: map[string]map[*worker]*run{}, lastEnd: map[string]time.Time{}, stop: make(chan struct{})}
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked(format, args...)
}

func (b *bed) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken. The lock is held.
func (b *bed) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.breaches = append(b.breaches, text)
	b.noteLocked("BROKEN %s", text)
}

func (b *bed) newRun(c call) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[jobOf(c.Task)]
	if j.spec != c.Spec {
		b.breach("UNASKED: %s starts with a spec that its client did not send", c.Task)
	}
	now := time.Now()
	return &run{task: c.Task, attempt: c.Attempt, spec: c.Spec, startedAt: now, endsAt: now.Add(j.duration), lasting: j.lasting, cpu: j.cpu}
}

// started checks a start against what can be seen outside the system.
func (b *bed) started(w *worker, l *life, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked("%s run %d starts on %s (labels %v)", r.task, r.attempt, w.id, l.kind.labels)
	if b.running[r.task] == nil {
		b.running[r.task] = map[*worker]*run{}
	}
	for other, earlier := range b.running[r.task] {
		b.breach("TWICE: %s run %d runs on %s and run %d on %s at the same time", r.task, earlier.attempt, other.id, r.attempt, w.id)
	}
	b.running[r.task][w] = r
	if j := b.jobs[jobOf(r.task)]; j.constraint != "" && !l.hasLabel(j.constraint) {
		b.breach("ROUTE: %s asks for the label %q and starts on %s, which has %v", r.task, j.constraint, w.id, l.kind.labels)
	}
	used := int64(0)
	for _, other := range l.active {
		used += other.cpu
	}
	if used > l.kind.cpu {
		b.noteLocked("worker %s runs %d millicores and has %d", w.id, used, l.kind.cpu)
	}
}

func (b *bed) ended(w *worker, r *run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked("%s run %d on %s ends: %s", r.task, r.attempt, w.id, how)
	delete(b.running[r.task], w)
	b.lastEnd[r.task] = time.Now()
}

func (b *bed) noted(e end) {
	b.note("%s run %d: its end %q is taken note of", e.task, e.attempt, e.how)
}

func (b *bed) refusedTicket(w *worker, c call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	if b.refused <= 20 {
		b.noteLocked("%s run %d is refused by %s: its ticket %q is not of this life", c.Task, c.Attempt, w.id, c.Ticket)
	}
}

// addWorker starts a worker with an ID of its own.
func (b *bed) addWorker(n int, service string, k kind) *worker {
	w := &worker{bed: b, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), service: service, machine: fmt.Sprintf("m-%05x", 0xa3f10+n), address: "127.0.0.1:0"}
	w.boot(k, 0)
	b.mu.Lock()
	b.workers = append(b.workers, w)
	b.mu.Unlock()
	return w
}

// serve serves a stand-in of the platform and returns its address.
func serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String()
}

// serveMachines lists the machines. One pool has no machine to move elsewhere, and no wave is
// due, so that the other calls are not expected.
func (b *bed) serveMachines(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		b.note("platform: %s", r.URL.Path)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	workers := append([]*worker(nil), b.workers...)
	b.mu.Unlock()
	list := []map[string]any{}
	for _, w := range workers {
		w.mu.Lock()
		list = append(list, map[string]any{"machine": w.machine, "pool": w.service, "state": "up", "zone": "z1", "labels": w.life.kind.labels,
			"capacity": map[string]int64{"cpu": w.life.kind.cpu, "mem-mb": 65536, "gpu": 0}, "id": w.id})
		w.mu.Unlock()
	}
	rw.Header().Set("Content-Type", "application/json")
	must(json.NewEncoder(rw).Encode(map[string]any{"machines": list, "next-token": nil}))
}

// publish writes the first configuration: one queue, one service.
func (b *bed) publish(advice map[string]any) {
	route := map[string]any{"name": "r-iikdrbn", "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
		"target-latency-ms": 600, "priority": 0, "service": "huvo11a", "max-attempts": 3, "stretch": 1.6, "public": false}
	if advice != nil {
		route["advice"] = advice
	}
	b.store.Put("keyed.op", "config", map[string]any{
		"version": 7, "routes": []any{route},
		"services": []any{map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 64, "protocol": "h1",
			"tls-enabled": false, "admission-check": false, "standby": false}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "cugo130", "api-keys": []string{key}, "priority": 1, "weight": 46, "cap": map[string]any{"cpu": 0, "mem-mb": 0, "gpu": 0}}},
	})
}

// startEntries starts the entries as the deploy file does, with settings as its template makes
// them for a small deployment.
func (b *bed) startEntries(program string) {
	storeAddress, machines := serve(b.store), serve(http.HandlerFunc(b.serveMachines))
	adviceAddress := storeAddress
	if b.tickets != nil {
		adviceAddress = serve(b.tickets)
	}
	const listeners = 3
	addresses, err := freeport.Addresses(listeners * entries)
	must(err)
	for i := range entries {
		callers, readiness, metrics := addresses[listeners*i], addresses[listeners*i+1], addresses[listeners*i+2]
		settings := map[string]any{
			"node": fmt.Sprintf("frontend-z1-%d", i+1), "availability_zone": "z1", "callers": callers, "readiness": readiness, "metrics": metrics,
			"store": storeAddress, "vms": machines, "vm_orders_per_s": 64.0, "advice": adviceAddress, "max_lease_ms": holdMax.Milliseconds(),
			"stop_ms": stopMS, "stop_grace_s": 6, "keep_state_s": 120, "checkpoint_s": 0.5, "restore_ms": 250, "far_factor": 2, "move_s": 1.5,
			"maintenance_s": 2, "vm_order_lease_ms": 3000, "disruption_away_ms": 4500, "tail_grace_ms": 4000, "max_descriptors": 4100,
			"policies":  map[string]bool{"stored_vm_orders": true, "preemption": true, "consolidation": true, "lookahead": true, "entitlement": true},
			"memory_mb": 284, "processor_share": 0.4,
		}
		raw, err := json.Marshal(settings)
		must(err)
		path := filepath.Join(b.dir, fmt.Sprintf("entry-%d.json", i+1))
		must(os.WriteFile(path, raw, 0o600))
		log, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("entry-%d.log", i+1)))
		must(err)
		p := exec.Command(program, "fleet-entry", "-settings", path)
		p.Stdout, p.Stderr = log, log
		must(p.Start())
		b.procs, b.settings = append(b.procs, p), append(b.settings, path)
		b.calls = append(b.calls, callers)
		b.note("entry %d starts, callers at %s", i+1, callers)
	}
	for i := range entries {
		b.await(20*time.Second, fmt.Sprintf("entry %d answers", i+1), func() bool {
			status, _ := b.request(i, http.MethodGet, "", "")
			return status == http.StatusOK
		})
	}
}

// await waits until the condition holds; without it the case cannot run.
func (b *bed) await(timeout time.Duration, what string, holds func() bool) {
	for until := time.Now().Add(timeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic("the case cannot run: in vain waited until " + what)
		}
	}
}

// request is one call of a client at an entry.
func (b *bed) request(entry int, method, id, body string) (status int, state string) {
	r, err := http.NewRequest(method, "http://"+b.calls[entry]+prefix+id, bytes.NewBufferString(body))
	must(err)
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out.State
}

// submit hands a job in, at the next entry while one gives no answer.
func (b *bed) submit(entry int, id string, j job, steps ...map[string]any) bool {
	b.mu.Lock()
	b.jobs[id] = j
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": j.spec, "phases": steps})
	must(err)
	for n := range entries {
		status, _ := b.request((entry+n)%entries, http.MethodPost, id, string(body))
		b.note("client hands in %s: %d", id, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

func (b *bed) isRunning(task string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running[task]) > 0
}

// close ends all that the case has started, and returns what was broken.
func (b *bed) close() []string {
	b.over.Do(b.end)
	return b.breaches
}

func (b *bed) end() {
	close(b.stop)
	b.guards.Wait()
	for _, p := range b.procs {
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Wait()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%d breaches\n", len(b.breaches))
	_ = b.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}
