package main

import (
	"encoding/json"
	"errors"
	"fmt"
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
)

// restartDelay is how long the platform takes to start a process again that has ended.
const restartDelay = time.Second

// entry is a machine of the system: the platform keeps its process running, and kills one that
// exceeds the machine's memory.
type entry struct {
	name, settingsPath, binary string
	callers, readiness         string
	memoryMB                   int64
	record                     *record
	log                        *os.File

	mu      sync.Mutex
	process *exec.Cmd
	closing bool
	// stopping is set while the platform itself ends the process, starts counts its starts.
	stopping bool
	starts   int
	// ends counts how often the process has ended by itself, outOfMemory how often of these its
	// memory was over the limit; peakMB is the most that it had.
	ends, outOfMemory int
	peakMB            int64
	gone              chan struct{}
}

// settingsFor are the fields that deploy/entry.json.tmpl makes of the settings of a small site.
func settingsFor(name, zone, callers, readiness, store, vms string, memoryMB int64) map[string]any {
	return map[string]any{
		"node": name, "availability_zone": zone, "callers": callers, "readiness": readiness, "store": store, "vms": vms, "vm_orders_per_s": 64,
		"max_lease_ms": maxLease.Milliseconds(), "stop_ms": 900, "stop_grace_s": 6, "keep_state_s": 120, "checkpoint_s": 2,
		"restore_ms": 600, "far_factor": 2, "move_s": 1.5, "maintenance_s": 2, "vm_order_lease_ms": 3000,
		"disruption_away_ms": 4500, "tail_grace_ms": 4000, "max_descriptors": 4100, "memory_mb": memoryMB, "processor_share": 0.4,
		"policies": map[string]bool{"stored_vm_orders": true, "preemption": true, "consolidation": true, "lookahead": true, "entitlement": true},
	}
}

func newEntry(rec *record, binary, dir, name, zone, store, vms string, memoryMB int64) (*entry, error) {
	e := &entry{name: name, binary: binary, record: rec, memoryMB: memoryMB, settingsPath: filepath.Join(dir, name+".json")}
	var err error
	if e.callers, err = freeAddress(); err != nil {
		return nil, err
	}
	if e.readiness, err = freeAddress(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(settingsFor(name, zone, e.callers, e.readiness, store, vms, memoryMB))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settingsPath, raw, 0o600); err != nil {
		return nil, err
	}
	if e.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return e, e.start()
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the process, and again whenever it ends.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return nil
	}
	p := exec.Command(e.binary, "fleet-entry", "-settings", e.settingsPath)
	p.Stdout, p.Stderr = e.log, e.log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	e.process, e.gone = p, make(chan struct{})
	e.starts++
	e.record.logf("%s: process started", e.name)
	go e.watch(p, e.gone)
	return nil
}

// watch applies the limit of memory, and starts the process again after its end.
func (e *entry) watch(p *exec.Cmd, gone chan struct{}) {
	ended := make(chan struct{})
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	killed := false
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(50 * time.Millisecond):
			used := anonymousMB(p.Process.Pid)
			e.mu.Lock()
			e.peakMB = max(e.peakMB, used)
			e.mu.Unlock()
			if used > e.memoryMB && !killed {
				killed = true
				e.record.logf("%s: process has %d MB of %d MB and is killed", e.name, used, e.memoryMB)
				_ = p.Process.Kill()
			}
		}
	}
	close(gone)
	e.mu.Lock()
	byItself := !e.closing && !e.stopping
	e.stopping = false
	if byItself {
		e.ends++
		if killed {
			e.outOfMemory++
		}
	}
	closing := e.closing
	e.mu.Unlock()
	e.record.logf("%s: process ended (%s)", e.name, p.ProcessState)
	if closing {
		return
	}
	time.Sleep(restartDelay)
	if err := e.start(); err != nil {
		e.record.logf("%s: cannot start: %v", e.name, err)
	}
}

// anonymousMB returns the process's anonymous memory: without pages of files, such as the
// program itself.
func anonymousMB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kB, err := strconv.ParseInt(fields[1], 10, 64)
			if err == nil {
				return kB >> 10
			}
		}
	}
	return 0
}

// restart stops the process as the platform does, and waits until the next one is ready.
func (e *entry) restart(grace time.Duration) error {
	e.mu.Lock()
	e.stopping = true
	starts, gone, p := e.starts, e.gone, e.process
	e.mu.Unlock()
	e.record.logf("%s: SIGTERM", e.name)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-gone:
	case <-time.After(grace):
		e.record.logf("%s: SIGKILL", e.name)
		_ = p.Process.Kill()
		<-gone
	}
	return waitUntil(readyWithin, func() bool {
		e.mu.Lock()
		again := e.starts > starts
		e.mu.Unlock()
		return again && e.ready()
	})
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closing = true
	p, gone := e.process, e.gone
	e.mu.Unlock()
	if p != nil {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		<-gone
	}
}

// ready asks the entry as the balancer does.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.readiness + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitUntil(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("a condition of the case was not met in time")
}
