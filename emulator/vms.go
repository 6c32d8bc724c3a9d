package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

// vmOperationTime is how long a move or maintenance takes.
const vmOperationTime = 200 * time.Millisecond

// ServeHTTP implements the VM interface.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		writeJSON(w, http.StatusOK, map[string]any{"machines": f.list(), "next-token": nil})
		return
	}
	var req struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	m, known := f.vms[req.Machine]
	if !known {
		f.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	move := r.URL.Path == "/machine-move"
	if move && m.pool == req.Pool || !move && m.startedWaves[req.Wave] {
		f.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" {
		f.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	m.state = "upkeep"
	if move {
		m.state, m.pool = "moving", req.Pool
	} else {
		m.startedWaves[req.Wave] = true
	}
	f.mu.Unlock()
	f.endIncarnation(m)
	time.AfterFunc(vmOperationTime, func() {
		// If no address is available, the VM stays down.
		_ = f.boot(m)
	})
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (f *Fleet) list() []map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.vms))
	for name := range f.vms {
		names = append(names, name)
	}
	sort.Strings(names)
	out := []map[string]any{}
	for _, name := range names {
		m := f.vms[name]
		out = append(out, map[string]any{
			"machine": name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": m.milliCPU, "mem-mb": 65536, "gpu": 0}, "id": m.worker.id,
		})
	}
	return out
}

// MaintenanceStarted reports whether the VM's maintenance for the wave has
// started.
func (f *Fleet) MaintenanceStarted(vm string, wave int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].startedWaves[wave]
}
