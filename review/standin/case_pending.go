package main

import (
	"net/http"
	"time"
)

// runPending: the one worker that may run some jobs rejects all starts for some seconds.
// The number of jobs that have not begun must still be told.
func runPending(rec *record, trouble bool) (bool, error) {
	const (
		jobs    = 10
		visible = 3 * time.Second
		stale   = 2 * time.Second
		// outage is the longest that the site file lets workers fail.
		outage = 6500 * time.Millisecond
	)
	d, err := newDeployment(rec, 12, 16_000)
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
	w := d.fleet.workers[0]
	if trouble {
		w.set(func(w *worker) { w.shedding = true }, "unhealthy: it answers 503 to each start, and does nothing")
	}
	began := time.Now()
	for range jobs {
		if err := d.submit(quotes.prefix+newID(), jobBody(spec{WorkMS: 300}, step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 300, Constraints: "special"})); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(visible + stale + 200*time.Millisecond)))
	broken := false
	for _, e := range d.entries {
		d.fleet.mu.Lock()
		waiting := jobs - len(d.fleet.starts)
		d.fleet.mu.Unlock()
		a := d.call(e, http.MethodGet, quotes.prefix, "")
		if a.Pending != nil && 2**a.Pending < waiting {
			rec.note("MIXED: %s gives %d as pending, but %d jobs that were accepted over %s before have not begun", e.name, *a.Pending, waiting, visible+stale)
			broken = true
		}
	}
	time.Sleep(time.Until(began.Add(outage)))
	if trouble {
		w.set(func(w *worker) { w.shedding = false }, "healthy again")
	}
	time.Sleep(3 * time.Second)
	d.fleet.mu.Lock()
	rec.note("%d of %d jobs have begun in the end", len(d.fleet.starts), jobs)
	d.fleet.mu.Unlock()
	return broken, nil
}
