package emulator

import "time"

// Crash ends the process of the VM's worker and all its runs. The worker's record stays on
// the list.
func (f *Fleet) Crash(vm string) {
	f.mu.Lock()
	m := f.vms[vm]
	f.mu.Unlock()
	f.stopWorker(m)
}

// Restart starts the VM's worker again after a crash, under its ID and at its address. It
// holds and knows nothing of before. It reports to the list after the delay, or at the end of a cut.
func (f *Fleet) Restart(vm string, reportsAfter time.Duration) error {
	f.mu.Lock()
	m := f.vms[vm]
	id, address := m.worker.id, m.address
	f.mu.Unlock()
	w, err := f.startWorker(m, id, address)
	if err != nil {
		return err
	}
	time.AfterFunc(reportsAfter, func() { f.report(m, w) })
	return nil
}

// report writes the record of the VM's worker, unless the worker has been replaced. One that
// is cut off reports later.
func (f *Fleet) report(m *machine, w *Worker) {
	f.mu.Lock()
	present, cutOff := m.worker == w, m.cut != nil
	if present && cutOff {
		m.unreported = true
	}
	f.mu.Unlock()
	if present && !cutOff {
		f.register(m, "ready")
	}
}

// stopWorker ends the VM's worker and its runs.
func (f *Fleet) stopWorker(m *machine) {
	f.mu.Lock()
	w, server := m.worker, m.server
	f.mu.Unlock()
	// No response leaves the worker any more, also of a request that it still handles.
	_ = server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	for task := range w.active {
		w.finish(task, "stopped")
	}
	w.ended = true
	close(w.stopped)
}
