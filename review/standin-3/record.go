package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run into a file, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	gangs map[string]*gang
	// begun holds the jobs of which a run has started.
	begun map[string]bool
	// jobs is what the clients have handed in.
	jobs map[string]jobKind
}

// jobKind is how the runs of a job's tasks go.
type jobKind struct {
	// duration is how long a run takes; 0 for the worker's own time.
	duration time.Duration
	// gang is how many tasks work only together; 0 for none.
	gang int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now(), gangs: map[string]*gang{}, begun: map[string]bool{}, jobs: map[string]jobKind{}}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// define notes how a job's runs go.
func (r *record) define(job string, kind jobKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[job] = kind
}

func (r *record) kindOf(task string) jobKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[jobOf(task)]
}

func (r *record) started(worker, task string, attempt int) {
	r.mu.Lock()
	r.begun[jobOf(task)] = true
	r.mu.Unlock()
	r.logf("%s starts %s run %d", worker, task, attempt)
}

func (r *record) ended(worker, task string, attempt int, how string) {
	r.logf("%s ends %s run %d: %s", worker, task, attempt, how)
}

// notBegun returns how many of the jobs have had no run.
func (r *record) notBegun(jobs []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, job := range jobs {
		if !r.begun[job] {
			n++
		}
	}
	return n
}
