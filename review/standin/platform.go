package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/freeport"
)

const (
	binary     = "target/anvilcourse"
	entryCount = 8
	host       = "calls.example"
	key        = "key-of-the-tenant"
	tenant     = "north"
	service    = "desk"
	startLimit = 20 * time.Second
	clientWait = 3 * time.Second
)

// deployment is a small deployment: the platform's store, its list of machines, the
// workers and the entries.
type deployment struct {
	rec     *record
	folder  string
	store   *emulator.Store
	fleet   *fleet
	entries []*entry

	mu sync.Mutex
	// leader is the entry that last wrote to the store as its fenced producer.
	leader *entry
	// cutOff entries reach the store no more.
	cutOff map[*entry]bool
	// machinesDelay delays the answers of the machine interface.
	machinesDelay time.Duration
	orders        []order
}

type entry struct {
	name     string
	callers  string
	ready    string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
}

func newDeployment(rec *record, workers int, cpu int64) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, store: emulator.NewStore(), cutOff: map[*entry]bool{}}
	d.fleet = newFleet(d.store, rec)
	return d, d.addWorkers(service, workers, cpu)
}

// addWorkers adds workers to the pool, four a rack; the first has one more label.
func (d *deployment) addWorkers(pool string, count int, cpu int64) error {
	for i := range count {
		labels := []string{"std", fmt.Sprintf("r%d", i/4)}
		if i == 0 {
			labels = append(labels, "special")
		}
		if _, err := d.fleet.add(fmt.Sprintf("%s-%d", pool, i), pool, cpu, labels...); err != nil {
			return err
		}
	}
	return nil
}

// startEntries starts the entries and waits until all are ready and one leads.
func (d *deployment) startEntries() error {
	machines, err := serve(http.HandlerFunc(d.serveMachines))
	if err != nil {
		return err
	}
	for i := range entryCount {
		if err := d.addEntry(i, machines); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.allReady() && d.currentLeader() != nil {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %s", startLimit)
}

func (d *deployment) allReady() bool {
	for _, e := range d.entries {
		resp, err := http.Get("http://" + e.ready + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// serve serves the handler on a free loopback address.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// addEntry starts an entry with the settings that deploy/entry.json.tmpl makes of the
// small site's fields. It reaches the store at an address of its own, so that the
// stand-in can tell the entries apart.
func (d *deployment) addEntry(i int, machines string) error {
	addresses, err := freeport.Addresses(3)
	if err != nil {
		return err
	}
	e := &entry{name: fmt.Sprintf("frontend-%d", i), callers: addresses[0], ready: addresses[1]}
	store, err := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		cut := d.cutOff[e]
		if !cut && r.URL.Query().Get(emulator.LeaderAppend) != "" {
			d.leader = e
		}
		d.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		if r.ContentLength > callBytes {
			d.rec.note("the store rejects an append of %d bytes from %s: one call may have %d", r.ContentLength, e.name, callBytes)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	raw, err := json.Marshal(map[string]any{
		"node": e.name, "availability_zone": "porto-a", "callers": e.callers, "readiness": e.ready, "metrics": addresses[2],
		"store": store, "vms": machines, "vm_orders_per_s": 64, "max_lease_ms": maxLeaseMS, "stop_ms": 900, "stop_grace_s": 6,
		"keep_state_s": 120, "checkpoint_s": 2, "far_factor": 2, "move_s": 1.5, "maintenance_s": 2, "vm_order_lease_ms": 3000,
		"disruption_away_ms": 4500, "tail_grace_ms": 4000, "memory_mb": 284, "processor_share": 0.4,
	})
	if err != nil {
		return err
	}
	e.settings = filepath.Join(d.folder, e.name+".json")
	if err := os.WriteFile(e.settings, raw, 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(d.folder, e.name+".log")); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	return e.start()
}

func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = exec.Command(binary, "fleet-entry", "-settings", e.settings)
	e.process.Stdout, e.process.Stderr = e.log, e.log
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.process.Start()
}

// kill ends the entry's process at once.
func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Kill()
		_ = e.process.Wait()
	}
	e.process = nil
}

func (d *deployment) currentLeader() *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// restartLeader stops the leader's process with a SIGTERM, and starts it again once it has
// ended, with a SIGKILL after the grace period.
func (d *deployment) restartLeader() {
	const grace = 6 * time.Second
	e := d.currentLeader()
	d.rec.note("SIGTERM to %s, which last wrote to the store under a condition", e.name)
	e.mu.Lock()
	process := e.process
	e.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGTERM)
	go func() {
		late := time.AfterFunc(grace, func() { _ = process.Process.Kill() })
		_ = process.Wait()
		late.Stop()
		time.Sleep(300 * time.Millisecond)
		if err := e.start(); err == nil {
			d.rec.note("%s starts again", e.name)
		}
	}()
}

// close ends all processes. KEEP_LOGS=1 keeps the entries' logs.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill()
		_ = e.log.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// order is a call that moves a machine, as the platform sees it.
type order struct {
	at      time.Time
	machine string
	pool    string
	holder  string
	fence   int64
	status  int
}

// serveMachines lists the machines and moves them. It takes an order when it arrives.
func (d *deployment) serveMachines(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay := d.machinesDelay
	d.mu.Unlock()
	switch r.URL.Path {
	case "/machines":
		list := d.listMachines()
		time.Sleep(delay)
		writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
	case "/machine-move":
		status, reason := d.moveMachine(r)
		time.Sleep(delay)
		writeJSON(w, status, map[string]string{"reason": reason})
	default:
		d.rec.note("unexpected call %s", r.URL.Path)
		w.WriteHeader(http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (d *deployment) listMachines() []map[string]any {
	list := []map[string]any{}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, worker := range d.fleet.workers {
		state, id := "up", worker.id
		if worker.moving {
			state, id = "moving", ""
		}
		list = append(list, map[string]any{
			"machine": worker.machine, "pool": worker.service, "state": state, "zone": "porto-a", "labels": worker.labels,
			"capacity": map[string]int64{"cpu": worker.cpu, "mem-mb": 65536, "gpu": 0}, "id": id,
		})
	}
	return list
}

func (d *deployment) moveMachine(r *http.Request) (status int, reason string) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, ""
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	status, reason = d.fleet.move(body.Machine, body.Pool)
	o := order{at: time.Now(), machine: body.Machine, pool: body.Pool, holder: r.Header.Get("X-Lease-Holder"), fence: fence, status: status}
	d.mu.Lock()
	d.orders = append(d.orders, o)
	d.mu.Unlock()
	d.rec.note("the platform gets the order to move %s to %s from %s with fence number %d: %d %s", o.machine, o.pool, o.holder, o.fence, status, reason)
	return status, reason
}

// queue is a route of the manifest.
type queue struct {
	name, prefix string
	maxAttempts  int
	// pool is the service that runs its work items; empty for the usual one.
	pool string
}

// publish writes a manifest; its return is the operator's ack.
func (d *deployment) publish(version int, queues ...queue) {
	var routes, services []any
	var names []string
	pools := map[string]bool{}
	for _, q := range queues {
		pool := q.pool
		if pool == "" {
			pool = service
		}
		pools[pool] = true
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path-prefix": q.prefix, "service": pool, "kind": "non_idempotent",
			"timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": q.maxAttempts, "stretch": 1.6, "public": false,
		})
		names = append(names, q.name)
	}
	for name := range pools {
		services = append(services, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 64, "admission-check": false, "standby": false})
	}
	d.store.PublishManifest(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{key}, "weight": 10, "cap": map[string]int{"cpu": 0}}},
	})
	d.rec.note("the operator writes manifest %d with the routes %s; the store acknowledges it", version, strings.Join(names, ", "))
}

// step is one step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem-mb"`
	EstimateMS  int64  `json:"est-runtime-ms"`
	DependsOn   []int  `json:"depends-on,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"long-running,omitempty"`
}

func jobBody(s spec, steps ...step) string {
	inner, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	raw, err := json.Marshal(map[string]any{"spec": string(inner), "phases": steps})
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client sees; status 0 means no response.
type answer struct {
	status  int
	State   string `json:"state"`
	Pending *int   `json:"pending"`
}

// call sends one client's call to the entry.
func (d *deployment) call(e *entry, method, path, body string) answer {
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewBufferString(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: clientWait}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.note("%s %s at %s: no answer", method, path, e.name)
		return answer{}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	out := answer{status: resp.StatusCode}
	if err != nil || json.Unmarshal(raw, &out) != nil {
		out.State = ""
	}
	d.rec.note("%s %s at %s: %d %s", method, path, e.name, out.status, bytes.TrimSpace(raw))
	return out
}

// submit hands the job in, at other entries too where an answer says that it was not
// accepted or is missing.
func (d *deployment) submit(path, body string) error {
	for try := range 20 {
		if d.call(d.entries[try%len(d.entries)], http.MethodPost, path, body).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}
