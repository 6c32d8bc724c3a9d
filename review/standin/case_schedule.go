package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// callBytes is how much the records of one append to the store may total.
	callBytes = 2_097_152
	// scheduledWidth tasks run each scheduledEvery.
	scheduledWidth = 1200
	scheduledEvery = time.Second
	// scheduledRuns is the number of tasks after which the client cancels the job.
	scheduledRuns = 72_000
)

// runSchedule: a client cancels a job that has run many times. Ordinary jobs come all the
// while.
func runSchedule(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 12, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	quotes, nightly := queue{name: "quotes", prefix: "/quotes/", maxAttempts: 4}, queue{name: "nightly", prefix: "/nightly/", maxAttempts: 4}
	d.publish(2, quotes, nightly)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	d.fleet.mu.Lock()
	d.fleet.quiet = true
	d.fleet.mu.Unlock()
	id := newID()
	if err := d.submit(nightly.prefix+id, scheduledJob()); err != nil {
		return false, err
	}
	ended := func() int {
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		return len(d.fleet.ends)
	}
	began := time.Now()
	for time.Since(began) < 85*time.Second && ended() < scheduledRuns {
		time.Sleep(5 * time.Second)
		rec.note("%d work items of the scheduled job have ended", ended())
	}
	if n := ended(); n < scheduledRuns {
		return false, fmt.Errorf("only %d work items have ended in time, less than %d", n, scheduledRuns)
	}
	if trouble {
		d.call(d.entries[0], http.MethodDelete, nightly.prefix+id, "")
	}
	time.Sleep(2 * time.Second)
	var others []string
	for range 5 {
		other := newID()
		if err := d.submit(quotes.prefix+other, jobBody(spec{WorkMS: 300}, step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 300})); err != nil {
			return false, err
		}
		others = append(others, other)
	}
	time.Sleep(finish)
	return d.neverStarted(others) > 0, nil
}

// neverStarted counts the jobs of which no work item has started.
func (d *deployment) neverStarted(ids []string) int {
	n := 0
	for _, id := range ids {
		state := d.call(d.entries[1], http.MethodGet, "/quotes/"+id, "").State
		d.fleet.mu.Lock()
		started := false
		for _, s := range d.fleet.starts {
			started = started || strings.HasPrefix(s.task, id)
		}
		d.fleet.mu.Unlock()
		if !started {
			d.rec.note("LOST: %s was accepted %s ago, is shown as %q, and no work item of it has started, with nearly all capacity free", id, finish, state)
			n++
		}
	}
	return n
}

func scheduledJob() string {
	inner, err := json.Marshal(spec{WorkMS: 100})
	if err != nil {
		panic(err)
	}
	raw, err := json.Marshal(map[string]any{
		"spec": string(inner), "phases": []step{{Count: scheduledWidth, CPU: 100, MemMB: 10, EstimateMS: 100}},
		"repeats": 10_000, "interval-ms": scheduledEvery.Milliseconds(), "start-at-ms": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}
