package main

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const gangMembers = 4

// runGang: a gang ends as done. One member's worker is cut off meanwhile, crashes behind
// the cut and starts again; the leader's process is stopped
// and started again.
func runGang(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 6, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	quotes := queue{name: "quotes", prefix: "/quotes/", maxAttempts: 4}
	d.publish(2, quotes)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	id := newID()
	body := jobBody(spec{WorkMS: 2500, Gang: gangMembers}, step{Count: gangMembers, CPU: 12_000, MemMB: 1000, EstimateMS: 2500, Gang: true})
	if err := d.submit(quotes.prefix+id, body); err != nil {
		return false, err
	}
	member := id + ".0.0.3"
	w := d.workerOf(member)
	if w == nil {
		return false, errors.New("the gang has not started")
	}
	// The leader's process has ended and started again within its grace period.
	calm := time.Now().Add(11*time.Second + contact)
	if trouble {
		d.cutAndRestart(w)
	}
	time.Sleep(time.Until(calm.Add(25 * time.Second)))
	state := d.call(d.entries[1], http.MethodGet, quotes.prefix+id, "").State
	return d.gangBroken(id, state, calm), nil
}

// cutAndRestart cuts the worker off for 5.5 s, in which it crashes and starts again, and
// restarts the leader once the gang has ended. PART leaves one of the two out.
func (d *deployment) cutAndRestart(w *worker) {
	part := os.Getenv("PART")
	time.Sleep(500 * time.Millisecond)
	if part != "restart" {
		w.set(func(w *worker) { w.cut = true }, "cut off from all entries; it runs on")
	}
	time.Sleep(2700 * time.Millisecond)
	if part != "cut" {
		d.restartLeader()
	}
	time.Sleep(300 * time.Millisecond)
	if part != "restart" {
		w.crash(true)
		time.Sleep(500 * time.Millisecond)
		w.restart()
		time.Sleep(1500 * time.Millisecond)
		w.set(func(w *worker) { w.cut = false }, "the cut has healed")
	}
}

// workerOf waits for the start of the task and returns its worker.
func (d *deployment) workerOf(task string) *worker {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		d.fleet.mu.Lock()
		for _, w := range d.fleet.workers {
			if r := w.active[task]; r != nil && !r.working.IsZero() {
				d.fleet.mu.Unlock()
				return w
			}
		}
		d.fleet.mu.Unlock()
	}
	return nil
}

// gangBroken reports whether a member has been started again after the gang was done, and
// runs end alone in calm.
func (d *deployment) gangBroken(id, state string, calm time.Time) bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var done time.Time
	alone, again := 0, 0
	for _, end := range d.fleet.ends {
		if end.how == "done" && done.IsZero() {
			done = end.at
		}
		if end.how == "alone" && end.started.After(calm) {
			alone++
		}
	}
	for _, s := range d.fleet.starts {
		if !done.IsZero() && s.at.After(done) {
			again++
		}
	}
	d.rec.note("the gang was done: %t; starts after that: %d; runs that began in calm and ended alone: %d; the job is shown as %q", !done.IsZero(), again, alone, state)
	return alone > 0
}
