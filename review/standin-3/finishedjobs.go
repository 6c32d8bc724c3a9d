package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyWithin = 10 * time.Second
	pool        = "desk"
	// machineMB is the memory of a machine, finishTime is finish_s, as the small sites have them.
	machineMB = 284
	// workerCPU is what a worker has, in thousandths of a core.
	workerCPU  = 16_000
	finishTime = 14 * time.Second
	// callersAtOnce clients hand in one job after the other, each after the end of the last.
	callersAtOnce = 8
	largeBody     = 240_000
	ordinaryBody  = 250
	largeSteps    = 4
	taskTime      = 60 * time.Millisecond
	// The traffic ends after mostJobs, or after loadFor.
	mostJobs = 1300
	loadFor  = 75 * time.Second
	// askersAtOnce clients ask for the jobs at the end, until enoughUnanswered have no answer.
	askersAtOnce     = 16
	enoughUnanswered = 64
)

// finishedJobs lets clients hand in jobs with bodies of legal size, each of which is completed
// before its client hands in the next. After the traffic and finish_s it asks for all of them. It
// fails if one that was accepted gets no answer, or has had no run though all workers are idle.
func finishedJobs(b *bed) (int, error) {
	if err := b.startSite([]int{2, 2}, 4*workerCPU); err != nil {
		return notRun, err
	}
	size := largeBody
	if !b.trouble {
		size = ordinaryBody
	}
	accepted := b.handIn(sizedBody(size), callersAtOnce, mostJobs, loadFor)
	b.record.logf("end of the traffic")
	time.Sleep(finishTime)
	unanswered := b.askForAll(accepted)
	b.reportMemory()
	notBegun := b.record.notBegun(accepted)
	line := fmt.Sprintf("%d jobs of %d bytes accepted; %s after the traffic %d of them have had no run, and %d get no answer", len(accepted), size, finishTime, notBegun, unanswered)
	b.record.logf("%s", line)
	fmt.Println(line)
	if notBegun > 0 || unanswered > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// startSite starts the store, the workers of one service and three entries. Racks tells how many
// workers each rack has; the tenant may have capCPU running, in thousandths of a core.
func (b *bed) startSite(racks []int, capCPU int) error {
	if err := b.serveStore(); err != nil {
		return err
	}
	b.store.put("keyed.op", "config", manifest(1, pool, 100, capCPU))
	for rack, workers := range racks {
		for range workers {
			name := fmt.Sprintf("i-%d", len(b.workers))
			w, err := startWorker(b.store, b.record, name, pool, fmt.Sprintf("z%d", rack%2), fmt.Sprintf("r%d", rack), workerCPU, taskTime)
			if err != nil {
				return err
			}
			b.workers = append(b.workers, w)
		}
	}
	return b.addEntries(3, machineMB)
}

// handIn plays the traffic and returns the accepted jobs: callers hand in one job after the other,
// each after the end of its last, until there were so many jobs or the time is over.
func (b *bed) handIn(body []byte, callers, most int, lasts time.Duration) []string {
	var group sync.WaitGroup
	var mu sync.Mutex
	handedIn := b.handedIn
	var accepted []string
	until := time.Now().Add(lasts)
	next := func() string {
		mu.Lock()
		defer mu.Unlock()
		if handedIn == b.handedIn+most || time.Now().After(until) {
			return ""
		}
		handedIn++
		return jobID(handedIn)
	}
	for n := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newClient(b.record, b.entries, n)
			for id := next(); id != ""; id = next() {
				if !c.submit(id, body) {
					continue
				}
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
				c.awaitEnd(id, 3*time.Second)
			}
		}()
	}
	group.Wait()
	b.handedIn = handedIn
	return accepted
}

// askForAll asks for each job, with as many retries as clients have, and returns how many got
// no state.
func (b *bed) askForAll(jobs []string) int {
	var group sync.WaitGroup
	var unanswered atomic.Int64
	queue := make(chan string)
	for n := range askersAtOnce {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newClient(b.record, b.entries, n)
			for id := range queue {
				known := false
				for try := 0; try < 5 && !known; try++ {
					known = c.state(c.rotate(), id) != ""
				}
				if !known {
					unanswered.Add(1)
				}
			}
		}()
	}
	for i := 0; i < len(jobs) && unanswered.Load() < enoughUnanswered; i++ {
		queue <- jobs[i]
	}
	close(queue)
	group.Wait()
	return int(unanswered.Load())
}

// sizedBody returns a job of four steps of one task each whose body has about the size.
func sizedBody(size int) []byte {
	if size <= ordinaryBody {
		return jobBody("ordinary", phase{Count: largeSteps, CPU: 500, MemMB: 256, Estimate: 60})
	}
	phases := make([]phase, largeSteps)
	for i := range phases {
		phases[i] = phase{Count: 1, CPU: 500, MemMB: 256, Estimate: 60, Image: strings.Repeat("image/", (size/largeSteps-100)/len("image/"))}
	}
	return jobBody("large", phases...)
}
