package main

import (
	"errors"
	"time"
)

// runLate: a worker leaves starts unanswered and carries them out late. It restarts under
// its ID before that, and knows no fence number and no stop of its earlier life.
func runLate(rec *record, trouble bool) (bool, error) {
	const work = 9000
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
	time.Sleep(contact)
	if trouble {
		for _, w := range d.fleet.workers {
			w.set(func(w *worker) { w.lateStarts = 6 * time.Second }, "leaves starts unanswered and carries them out 6 s later")
		}
	}
	id := newID()
	body := jobBody(spec{WorkMS: work}, step{Count: 1, CPU: 12_000, MemMB: 1000, EstimateMS: work})
	if err := d.submit(quotes.prefix+id, body); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		w := d.assigned(id)
		for _, other := range d.fleet.workers {
			other.set(func(w *worker) { w.lateStarts = 0 }, "answers starts again")
		}
		if w == nil {
			return false, errors.New("no worker has got the start")
		}
		time.Sleep(2500 * time.Millisecond)
		w.crash(true)
		time.Sleep(300 * time.Millisecond)
		w.restart()
	}
	time.Sleep(15 * time.Second)
	return d.concurrentRuns() > 0, nil
}

// assigned returns the worker that has been told to start the job's first work item.
func (d *deployment) assigned(id string) *worker {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, w := range d.fleet.workers {
		if w.lastTold == id+".0.0.0" {
			return w
		}
	}
	return nil
}
