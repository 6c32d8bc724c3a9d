package emulator

import "net/http"

// CutMode is what becomes of the requests and responses on their way during a cut.
type CutMode int

const (
	// CutDrops loses them.
	CutDrops CutMode = iota
	// CutHolds delivers them at the end of the cut, the requests also if their clients
	// have given up.
	CutHolds
)

// cut keeps a worker from all others. Its runs go on.
type cut struct {
	mode CutMode
	over chan struct{}
}

// Disconnect makes the VM's worker unreachable; its runs continue.
func (f *Fleet) Disconnect(vm string) { f.Cut(vm, CutDrops) }

// Cut makes the VM's worker unreachable, over its restarts, until Reconnect.
func (f *Fleet) Cut(vm string, mode CutMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.vms[vm]
	if m.cut == nil {
		m.cut = &cut{mode: mode, over: make(chan struct{})}
	}
	m.worker.cut.Store(m.cut)
}

// Reconnect makes the VM's worker reachable again.
func (f *Fleet) Reconnect(vm string) {
	f.mu.Lock()
	m := f.vms[vm]
	w, unreported := m.worker, m.unreported
	if m.cut != nil {
		close(m.cut.over)
	}
	m.cut, m.unreported = nil, false
	w.cut.Store(nil)
	f.mu.Unlock()
	if unreported {
		f.report(m, w)
	}
}

// passCut waits for the end of a cut. It reports whether the request or its response
// is delivered.
func (w *Worker) passCut(r *http.Request) bool {
	c := w.cut.Load()
	if c == nil {
		return true
	}
	if c.mode == CutDrops {
		<-r.Context().Done()
		return false
	}
	select {
	case <-c.over:
		return true
	case <-w.stopped:
		return false
	}
}
