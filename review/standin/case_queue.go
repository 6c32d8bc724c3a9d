package main

import (
	"net/http"
	"time"
)

const (
	quotesAttempts = 4
	configApply    = 2 * time.Second
	contact        = 3 * time.Second
	finish         = 14 * time.Second
)

// runQueue: the operator takes a route out of the manifest and puts it back, and the
// leader's process is stopped and started in between. Jobs that were accepted before must go on.
func runQueue(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 8, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	quotes, certs := queue{name: "quotes", prefix: "/quotes/", maxAttempts: quotesAttempts}, queue{name: "certs", prefix: "/certs/", maxAttempts: 3}
	d.publish(2, quotes, certs)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	// The first run of each task of these jobs ends as failed.
	failing, chained := []string{}, []string{}
	for range 5 {
		failing, chained = append(failing, newID()), append(chained, newID())
	}
	for _, id := range failing {
		if err := d.submit(quotes.prefix+id, jobBody(spec{WorkMS: 9000, FailFirstMS: 400}, step{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 9000})); err != nil {
			return false, err
		}
	}
	for _, id := range chained {
		if err := d.submit(quotes.prefix+id, jobBody(spec{WorkMS: 8000}, step{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 8000},
			step{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 8000, DependsOn: []int{0}})); err != nil {
			return false, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	d.publish(5, certs)
	time.Sleep(configApply)
	if trouble {
		d.restartLeader()
	}
	// The process has ended and started again within the grace period.
	calm := time.Now().Add(7*time.Second + contact)
	time.Sleep(22 * time.Second)
	stalled := d.stalledJobs(chained, calm.Add(4*time.Second))
	d.publish(9, quotes, certs)
	time.Sleep(configApply + time.Second)
	broken := stalled > 0
	for _, id := range failing {
		failures := d.mostFailures(id)
		for _, e := range d.entries {
			if a := d.call(e, http.MethodGet, quotes.prefix+id, ""); a.State == "failed" && failures < quotesAttempts {
				rec.note("LOST: %s is shown as failed, but no work item of it has more than %d runs that ended as failed; %d are its attempts", id, failures, quotesAttempts)
				broken = true
			}
		}
	}
	time.Sleep(finish)
	for _, id := range append(failing, chained...) {
		if a := d.call(d.entries[0], http.MethodGet, quotes.prefix+id, ""); a.State != "completed" {
			rec.note("%s is shown as %q at the end", id, a.State)
		}
	}
	return broken, nil
}

// stalledJobs counts the jobs whose second step has had nothing running for 3 s since the
// time, although its turn had come.
func (d *deployment) stalledJobs(ids []string, since time.Time) int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	n := 0
	for _, id := range ids {
		turn := time.Time{}
		for _, end := range d.fleet.ends {
			if end.task == id+".0.0.0" && end.how == "done" {
				turn = end.at
			}
		}
		started := false
		for _, s := range d.fleet.starts {
			started = started || s.task == id+".0.1.0"
		}
		if from := later(turn, since); !turn.IsZero() && !started && time.Since(from) > 3*time.Second {
			d.rec.note("LOST: the second step of %s has had its turn for %.1f s, and nothing of the job has run for the last %.1f calm seconds, with the workers nearly idle",
				id, time.Since(turn).Seconds(), time.Since(from).Seconds())
			n++
		}
	}
	return n
}

// mostFailures returns the most runs of one work item of the job that ended as failed.
func (d *deployment) mostFailures(id string) int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	byTask, most := map[string]int{}, 0
	for _, end := range d.fleet.ends {
		if end.how == "failed" && end.task[:len(id)] == id {
			byTask[end.task]++
			most = max(most, byTask[end.task])
		}
	}
	return most
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
