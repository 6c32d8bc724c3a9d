package main

import (
	"errors"
	"os"
	"time"
)

// runLease: a worker loses power for a moment and starts again under its ID. Soon after it
// is cut off. What it runs must not run elsewhere meanwhile.
func runLease(rec *record, trouble bool) (bool, error) {
	const work = 25_000
	d, err := newDeployment(rec, 8, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	quotes := queue{name: "quotes", prefix: "/quotes/", maxAttempts: 4}
	d.publish(2, quotes)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// One task a worker, so that the lost one has no other place than its worker. Room is
	// free again when the fillers end.
	id, filler := newID(), newID()
	one := step{Count: 1, CPU: 12_000, MemMB: 1000, EstimateMS: work}
	if err := d.submit(quotes.prefix+id, jobBody(spec{WorkMS: work}, one)); err != nil {
		return false, err
	}
	w := d.workerOf(id + ".0.0.0")
	if w == nil {
		return false, errors.New("the job has not started")
	}
	if err := d.submit(quotes.prefix+filler, jobBody(spec{WorkMS: 4500}, step{Count: 7, CPU: 12_000, MemMB: 1000, EstimateMS: 4500})); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	part := os.Getenv("PART")
	if trouble && part != "cut" {
		w.crash(true)
		time.Sleep(300 * time.Millisecond)
		w.restart()
		if w = d.workerOf(id + ".0.0.0"); w == nil {
			return false, errors.New("the job has not started again")
		}
	}
	if trouble && part != "crash" {
		time.Sleep(300 * time.Millisecond)
		w.set(func(w *worker) { w.cut = true }, "cut off from all entries; it runs on")
		time.Sleep(5500 * time.Millisecond)
		w.set(func(w *worker) { w.cut = false }, "the cut has healed")
	}
	time.Sleep(8 * time.Second)
	return d.concurrentRuns() > 0, nil
}

// concurrentRuns counts the starts of a work item while another run of it was going on.
func (d *deployment) concurrentRuns() int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	n := 0
	for i, first := range d.fleet.starts {
		over := time.Now()
		for _, end := range d.fleet.ends {
			if end.worker == first.worker && end.task == first.task && end.started.Equal(first.at) {
				over = end.at
			}
		}
		for _, second := range d.fleet.starts[i+1:] {
			if second.task == first.task && second.at.Before(over) {
				d.rec.note("TWICE: run %d of %s starts on %s, while run %d goes on on %s for %d ms more", second.attempt, second.task, second.worker,
					first.attempt, first.worker, over.Sub(second.at).Milliseconds())
				n++
			}
		}
	}
	return n
}
