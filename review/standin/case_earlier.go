package main

import (
	"errors"
	"time"
)

// runEarlier: a worker that has just started crashes and starts again under its ID, with
// its time of day two seconds back in between. What ran on it must run again.
func runEarlier(rec *record, trouble bool) (bool, error) {
	const (
		work      = 3000
		clockJump = 2 * time.Second
	)
	d, err := newDeployment(rec, 4, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	quotes := queue{name: "quotes", prefix: "/quotes/", maxAttempts: 4}
	d.publish(2, quotes)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	id := newID()
	if err := d.submit(quotes.prefix+id, jobBody(spec{WorkMS: work}, step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: work, Constraints: "late"})); err != nil {
		return false, err
	}
	w, err := d.fleet.add("desk-late", service, 16_000, "late", "r9")
	if err != nil {
		return false, err
	}
	if d.workerOf(id+".0.0.0") == nil {
		return false, errors.New("the job has not started")
	}
	if trouble {
		w.crash(true)
		time.Sleep(300 * time.Millisecond)
		w.set(func(w *worker) { w.clockBack = clockJump }, "its time of day jumps back by two seconds")
		w.restart()
	}
	time.Sleep(contact + 25*time.Second)
	return len(d.doneTasks(id)) == 0, nil
}

// doneTasks returns the job's tasks that have ended as done.
func (d *deployment) doneTasks(id string) []string {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var out []string
	for _, end := range d.fleet.ends {
		if end.how == "done" && end.task[:len(id)] == id {
			out = append(out, end.task)
		}
	}
	d.rec.note("%d work items of the job have ended as done", len(out))
	return out
}
