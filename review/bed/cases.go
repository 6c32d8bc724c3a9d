package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// playKind restarts a worker under its ID and address as one of another kind, while jobs that
// ask for its former kind are handed in.
func playKind(b *bed, trouble bool, program string) {
	plain, special := kind{labels: []string{"a", "r1-1"}, cpu: 16000}, kind{labels: []string{"b", "r1-2"}, cpu: 16000}
	w := b.addWorker(0, "huvo11a", special)
	for n := 1; n <= 6; n++ {
		b.addWorker(n, "huvo11a", plain)
	}
	b.addWorker(7, "huvo11a", kind{labels: []string{"b", "r1-3"}, cpu: 2000})
	b.publish(nil)
	b.startEntries(program)
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(3 * time.Second)
		if !trouble {
			return
		}
		w.crash()
		time.Sleep(500 * time.Millisecond)
		w.boot(plain, heartbeat/2)
	}()
	for n := range 30 {
		b.submit(n%entries, fmt.Sprintf("5c0e7a21d94b%04x", n), job{spec: "render", constraint: "b", cpu: 2000, duration: 400 * time.Millisecond},
			map[string]any{"count": 2, "cpu": 2000, "mem-mb": 256, "est-runtime-ms": 400, "constraints": "b"})
		time.Sleep(200 * time.Millisecond)
	}
	<-done
	time.Sleep(2 * time.Second)
}

// playTickets restarts a worker under its ID, on which a work item lasts that only two workers
// may run.
func playTickets(b *bed, trouble bool, program string) {
	const ticketMS = 60_000
	k := kind{labels: []string{"a", "r1-1"}, cpu: 16000}
	b.tickets = &ticketOffice{bed: b, decide: 50 * time.Millisecond, period: time.Millisecond, validMS: ticketMS, granted: map[string]time.Time{}, allowed: map[string]bool{}}
	for n := range 8 {
		w := b.addWorker(n, "huvo11a", k)
		b.tickets.allowed[w.id] = n < 2
	}
	b.publish(map[string]any{"decide-ms": 50, "period-ms": 1, "valid-ms": ticketMS})
	b.startEntries(program)
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	tasks := []string{id + ".0.0.0", id + ".0.0.1"}
	if !b.submit(0, id, job{spec: "archive", cpu: 4000, lasting: true},
		map[string]any{"count": 2, "cpu": 4000, "mem-mb": 256, "est-runtime-ms": 1000, "long-running": true, "anti-affinity": 1}) {
		panic("the case cannot run: the job was not accepted")
	}
	b.await(10*time.Second, "both work items run", func() bool { return b.isRunning(tasks[0]) && b.isRunning(tasks[1]) })
	time.Sleep(3 * time.Second)
	if trouble {
		w := b.workers[0]
		w.crash()
		time.Sleep(time.Second)
		w.boot(k, 0)
	}
	b.watchLasting(tasks, 25*time.Second)
	b.note("%d starts were refused for their ticket", b.refused)
}

// watchLasting checks that each work item that lasts runs: it may be away for 6 s after its last
// run and for 3 s more.
func (b *bed) watchLasting(tasks []string, duration time.Duration) {
	const allowed = 9 * time.Second
	broken := map[string]bool{}
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		b.mu.Lock()
		for _, task := range tasks {
			if len(b.running[task]) == 0 && !broken[task] && time.Since(b.lastEnd[task]) > allowed {
				broken[task] = true
				b.breach("LOST: %s lasts and has not run for %.1f s, with room for it", task, time.Since(b.lastEnd[task]).Seconds())
			}
		}
		b.mu.Unlock()
	}
}

// playLease restarts idle workers under their IDs, hands a job in, and then cuts these workers
// off. Another job keeps the other workers busy when the first one is placed, and has ended
// when its work items are placed again. PART=crash and PART=cut leave the other disruption out.
func playLease(b *bed, trouble bool, program string) {
	const (
		workers  = 22
		affected = 3
		down     = 100 * time.Millisecond
		cutFor   = 5500 * time.Millisecond
	)
	for n := range workers {
		label := "a"
		if n < affected {
			label = "b"
		}
		b.addWorker(n, "huvo11a", kind{labels: []string{label, "r1-1"}, cpu: 16000})
	}
	b.publish(nil)
	b.startEntries(program)
	time.Sleep(12 * time.Second)
	b.submit(0, "0b81ee6a21d94b36", job{spec: "render", constraint: "a", cpu: 10000, duration: 4500 * time.Millisecond},
		map[string]any{"count": workers - affected, "cpu": 10000, "mem-mb": 256, "est-runtime-ms": 4500, "constraints": "a"})
	time.Sleep(500 * time.Millisecond)
	part := os.Getenv("PART")
	if trouble && part != "cut" {
		for _, w := range b.workers[:affected] {
			w.crash()
		}
		time.Sleep(down)
		for _, w := range b.workers[:affected] {
			w.boot(w.life.kind, heartbeat/2)
		}
	}
	b.submit(0, "5c0e7a21d94b36f8", job{spec: "payout", cpu: 7000, duration: 20 * time.Second},
		map[string]any{"count": affected, "cpu": 7000, "mem-mb": 256, "est-runtime-ms": 20000, "anti-affinity": 1})
	time.Sleep(time.Second)
	if trouble && part != "crash" {
		for _, w := range b.workers[:affected] {
			w.disconnect()
		}
		time.Sleep(cutFor)
		for _, w := range b.workers[:affected] {
			w.reconnect()
		}
	}
	time.Sleep(4 * time.Second)
}

// playSchedule hands in one job with set times of which most have passed, beside ordinary jobs.
func playSchedule(b *bed, trouble bool, program string) {
	const (
		overdue = 338 * 24 * time.Hour
		repeats = 525_600
		traffic = 30 * time.Second
		finish  = 14 * time.Second
	)
	for n := range 8 {
		b.addWorker(n, "huvo11a", kind{labels: []string{"a", "r1-1"}, cpu: 16000})
	}
	b.publish(nil)
	b.startEntries(program)
	b.guards.Add(entries)
	for entry := range entries {
		go b.guardMemory(entry, program)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		const id = "0b81ee6a21d94b36"
		status, _ := b.request(0, http.MethodPost, id, fmt.Sprintf(
			`{"spec":"render","phases":[{"count":8,"cpu":1000,"mem-mb":256,"est-runtime-ms":1000,"constraints":"z"}],"repeats":%d,"start-at-ms":%d,"interval-ms":60000}`,
			repeats, time.Now().Add(-overdue).UnixMilli()))
		b.note("client hands in %s, each minute of a year: %d", id, status)
	}
	var accepted []string
	for n, until := 0, time.Now().Add(traffic); time.Now().Before(until); n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if b.submit(n%entries, id, job{spec: "match", cpu: 1000, duration: 300 * time.Millisecond},
			map[string]any{"count": 2, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 300}) {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked("%d ordinary jobs were accepted, entries ended for their memory %v times", len(accepted), b.killed)
	b.checkEnds()
	for _, id := range accepted {
		if b.lastEnd[id+".0.0.0"].IsZero() {
			b.breach("LOST: %s was accepted and has not run, with room for it", id)
		}
	}
}

// checkEnds checks that not two entries have ended three times. The lock is held.
func (b *bed) checkEnds() {
	const often, several = 3, 2
	n := 0
	for _, ends := range b.killed {
		if ends >= often {
			n++
		}
	}
	if n >= several {
		b.breach("Fault: the entries ended for their memory %v times", b.killed)
	}
}
