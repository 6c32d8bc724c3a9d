package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run into a file, with the seconds since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begin  time.Time
	starts map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now(), starts: map[string]int{}}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(worker, task string, attempt int) {
	r.mu.Lock()
	r.starts[jobOf(task)]++
	r.mu.Unlock()
	r.logf("%s starts %s run %d", worker, task, attempt)
}

func (r *record) ended(worker, task string, attempt int, how string) {
	r.logf("%s ends %s run %d: %s", worker, task, attempt, how)
}

// startsOf returns how many runs of the job's tasks have started.
func (r *record) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job]
}
