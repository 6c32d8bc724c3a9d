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

// rackLocalStep hands in a job of two tasks that share a rack. While they run, both workers of
// the rack report that they drain; one task fails by its own fault, and the other is completed
// before the workers leave.
func rackLocalStep(b *bed) (int, error) {
	racks := make([]int, 16)
	for i := range racks {
		racks[i] = 2
	}
	if err := b.startSite(racks, 64*workerCPU); err != nil {
		return notRun, err
	}
	time.Sleep(2 * reportInterval)
	id := jobID(1)
	b.record.define(id, jobKind{duration: 5 * time.Second, failsAfter: map[int]time.Duration{1: 3 * time.Second}})
	if b.trouble {
		go func() {
			if waitUntil(10*time.Second, func() bool { return b.record.startsOf(id) == 2 }) != nil {
				return
			}
			for _, w := range b.workers {
				if w.runs() > 0 {
					w.drain(6500 * time.Millisecond)
				}
			}
		}()
	}
	body := jobBody("pair", phase{Count: 2, CPU: workerCPU, MemMB: 256, Estimate: 5000, RackLocal: true})
	return b.handInLast(id, body)
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
	free := 0
	for _, w := range b.workers {
		if !w.hasLeft() {
			free++
		}
	}
	line := fmt.Sprintf("%s after the traffic the job is %q, %d runs were seen in %s; %d workers have nothing to do", finishTime, state, runs, longWait, free)
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
