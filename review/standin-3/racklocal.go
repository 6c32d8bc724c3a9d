package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	gangSize = 4
	// longWait is how long a rule looks at a job that has nothing running.
	longWait = 3 * time.Second
	// lostFor is how long after the loss of its worker a work item that lasts is looked at: well over
	// the 6 s, and the 4 s of calm, of the rule.
	lostFor = 20 * time.Second
	taskCPU = 1800
)

// rackLocalGang hands in a rack-local gang that fits on one rack only, after a worker of that rack
// has been lost for good. Its members may run on several racks: they take longer there.
func rackLocalGang(b *bed) (int, error) {
	if err := b.startSite([]int{gangSize, 2, 2, 2, 2}, 64*workerCPU); err != nil {
		return notRun, err
	}
	if b.trouble {
		b.workers[0].crash()
	}
	time.Sleep(4 * reportInterval)
	id := jobID(1)
	b.record.define(id, jobKind{duration: time.Second, gang: gangSize})
	body := jobBody("gang", phase{Count: gangSize, CPU: workerCPU, MemMB: 256, Estimate: 1000, Gang: true, RackLocal: true})
	return b.handInLast(id, body)
}

// rackLocalStep hands in a job of two work items that last, share a rack and must not share a worker.
// Once they work, the worker of one of them is lost for good, and its rack has no other for it.
func rackLocalStep(b *bed) (int, error) {
	racks := make([]int, 16)
	for i := range racks {
		racks[i] = 2
	}
	if err := b.startSite(racks, 64*workerCPU); err != nil {
		return notRun, err
	}
	time.Sleep(2 * reportInterval)
	c, id := newClient(b.record, b.entries, 0), jobID(1)
	b.record.define(id, jobKind{duration: time.Hour})
	body := jobBody("pair", phase{Count: 2, CPU: taskCPU, MemMB: 256, Estimate: 900, RackLocal: true, LongRunning: true, AntiAffinity: 1, MayMiss: 1})
	if !c.submit(id, body) {
		return notRun, errors.New("the job was not accepted")
	}
	var atWork []*worker
	if err := waitUntil(10*time.Second, func() bool {
		atWork = b.workersAtWork()
		return len(atWork) == 2
	}); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		atWork[1].crash()
	}
	time.Sleep(lostFor)
	most := 0
	for end := time.Now().Add(longWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		most = max(most, len(b.workersAtWork()))
	}
	line := fmt.Sprintf("%s later at most %d of 2 work items have run in %s; %d workers have nothing to do", lostFor, most, longWait, b.idleWorkers())
	b.record.logf("%s", line)
	fmt.Println(line)
	if most < 2 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// workersAtWork returns the workers that have runs.
func (b *bed) workersAtWork() []*worker {
	var out []*worker
	for _, w := range b.workers {
		if w.runs() > 0 {
			out = append(out, w)
		}
	}
	return out
}

func (b *bed) idleWorkers() int {
	n := 0
	for _, w := range b.workers {
		if !w.hasLeft() && w.runs() == 0 {
			n++
		}
	}
	return n
}

// handInLast hands in the last job of the traffic. It fails if, finish_s later, the job is not
// completed and has had nothing running for longWait, though its turn has come and its
// service has room for it twice over.
func (b *bed) handInLast(id string, body []byte) (int, error) {
	c := newClient(b.record, b.entries, 0)
	if !c.submit(id, body) {
		return notRun, errors.New("the job was not accepted")
	}
	b.record.logf("end of the traffic")
	time.Sleep(finishTime)
	state, runs := "", 0
	for end := time.Now().Add(longWait); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		state = c.state(c.rotate(), id)
		for _, w := range b.workers {
			runs += w.runs()
		}
	}
	line := fmt.Sprintf("%s after the traffic the job is %q, %d runs were seen in %s; %d workers have nothing to do", finishTime, state, runs, longWait, b.idleWorkers())
	b.record.logf("%s", line)
	fmt.Println(line)
	if state == "" {
		return notRun, errors.New("no state of the job")
	}
	if state != "completed" && runs == 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
