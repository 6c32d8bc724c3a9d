package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// runRestart: short jobs come all the while to the worker that they need. Now and then it
// loses power for a moment and starts again under its ID. No work item may start again
// once its end was taken note of.
func runRestart(rec *record, trouble bool) (bool, error) {
	const (
		length = 75 * time.Second
		every  = 5 * time.Second
		outage = 300 * time.Millisecond
	)
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
	// A job that lasts keeps the worker busy.
	lasting := step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 1000, Constraints: "special", LongRunning: true}
	if err := d.submit(quotes.prefix+newID(), jobBody(spec{WorkMS: lastingWorkMS}, lasting)); err != nil {
		return false, err
	}
	end := time.Now().Add(length)
	if trouble {
		w := d.fleet.workers[0]
		go func() {
			for time.Sleep(every); time.Now().Before(end); time.Sleep(every) {
				w.crash(true)
				time.Sleep(outage)
				w.restart()
			}
		}()
	}
	var calls sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
		calls.Go(func() {
			// A job that is not accepted is no matter here.
			_ = d.submit(quotes.prefix+newID(), jobBody(spec{WorkMS: 120}, step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 120, Constraints: "special"}))
		})
	}
	calls.Wait()
	time.Sleep(5 * time.Second)
	return d.startedAfterDone() > 0, nil
}

// startedAfterDone counts the starts of work items after a run of theirs had ended as done
// and that was taken note of.
func (d *deployment) startedAfterDone() int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	n := 0
	for _, s := range d.fleet.starts {
		noted, known := d.fleet.noted[s.task]
		if known && s.at.After(noted.done) {
			d.rec.note("TWICE: run %d of %s starts on %s, %d ms after a run has ended as done on %s; that end was taken note of by a last-seen of %d", s.attempt, s.task, s.worker,
				s.at.Sub(noted.done).Milliseconds(), noted.worker, noted.lastSeen)
			n++
		}
	}
	return n
}
