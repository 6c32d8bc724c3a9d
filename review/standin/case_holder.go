package main

import (
	"errors"
	"os"
	"time"
)

const (
	holderMachines = 36
	// slowAnswer is 50 times the 4 ms that an answer takes usually.
	slowAnswer = 200 * time.Millisecond
	deskWork   = 9 * time.Second
	cutLength  = 4 * time.Second
)

// runHolder: demand turns from one queue to the other, so that many machines move. The
// machine interface is slow, and the leader is cut off from the store.
func runHolder(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, holderMachines, 16_000)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.addWorkers("rush", 4, 16_000); err != nil {
		return false, err
	}
	desk := queue{name: "quotes", prefix: "/quotes/", maxAttempts: 4}
	rush := queue{name: "stock", prefix: "/stock/", maxAttempts: 4, pool: "rush"}
	d.publish(2, desk, rush)
	if err := d.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	long := deskWork.Milliseconds()
	if err := d.submit(desk.prefix+newID(), jobBody(spec{WorkMS: long}, step{Count: holderMachines, CPU: 16_000, MemMB: 1000, EstimateMS: long})); err != nil {
		return false, err
	}
	end, err := d.endOfFirst(holderMachines, deskWork)
	if err != nil {
		return false, err
	}
	if err := d.submit(rush.prefix+newID(), jobBody(spec{WorkMS: 20_000}, step{Count: 60, CPU: 16_000, MemMB: 1000, EstimateMS: 20_000})); err != nil {
		return false, err
	}
	part := os.Getenv("PART")
	if trouble && part != "cut" {
		time.Sleep(time.Until(end.Add(-time.Second)))
		d.slowMachines(slowAnswer)
	}
	if trouble && part != "slow" {
		time.Sleep(time.Until(end.Add(-50 * time.Millisecond)))
		d.cutLeader()
	}
	time.Sleep(time.Until(end.Add(4 * time.Second)))
	d.slowMachines(0)
	time.Sleep(3 * time.Second)
	return d.lowerAfterHigher(), nil
}

// endOfFirst returns when the runs of the first job will end.
func (d *deployment) endOfFirst(count int, work time.Duration) (time.Time, error) {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		d.fleet.mu.Lock()
		if len(d.fleet.starts) >= count {
			end := d.fleet.starts[count-1].at.Add(work)
			d.fleet.mu.Unlock()
			return end, nil
		}
		d.fleet.mu.Unlock()
	}
	return time.Time{}, errors.New("the first job has not started")
}

func (d *deployment) slowMachines(delay time.Duration) {
	d.mu.Lock()
	d.machinesDelay = delay
	d.mu.Unlock()
	d.rec.note("the machine interface answers after %s", delay)
}

// cutLeader cuts the leader off from the store for some seconds.
func (d *deployment) cutLeader() {
	e := d.currentLeader()
	set := func(cut bool, what string) {
		d.mu.Lock()
		d.cutOff[e] = cut
		d.mu.Unlock()
		d.rec.note("%s %s", e.name, what)
	}
	set(true, "is cut off from the store, which it last wrote to under a condition")
	time.AfterFunc(cutLength, func() { set(false, "reaches the store again") })
}

// lowerAfterHigher reports whether a machine got an order with a lower fence number after
// one with a higher one.
func (d *deployment) lowerAfterHigher() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest, broken := map[string]order{}, 0
	for _, o := range d.orders {
		if before, known := highest[o.machine]; known && o.fence < before.fence {
			d.rec.note("ONE: %s gets an order of %s with fence number %d, %d ms after one of %s with %d", o.machine, o.holder, o.fence,
				o.at.Sub(before.at).Milliseconds(), before.holder, before.fence)
			broken++
			continue
		}
		highest[o.machine] = o
	}
	d.rec.note("%d orders, %d with a lower fence number after a higher one", len(d.orders), broken)
	return broken > 0
}
