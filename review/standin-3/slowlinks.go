package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// slowLink is a link of 10 Mbit/s, in bytes a second: the least of the machines of the grown sites.
	slowLink = 10e6 / 8
	// specBytes is the longest spec.
	specBytes = 4000
	// The traffic before the restarts is of so many jobs, or lasts for so long.
	steadyJobs    = 2600
	steadyFor     = 55 * time.Second
	steadyCallers = 12
	// lastJobs are handed in once all entries have been restarted.
	lastJobs  = 20
	stopGrace = 6 * time.Second
)

// slowLinks restarts one entry after the other, beside ordinary traffic on machines with slow links,
// and hands in some more jobs. It fails if one of these is not begun, though all workers are idle, or
// gets no answer.
func slowLinks(b *bed) (int, error) {
	b.linkRate = slowLink
	if err := b.startSite([]int{2, 2}, 4*workerCPU); err != nil {
		return notRun, err
	}
	body := jobBody(strings.Repeat("spec", specBytes/4), phase{Count: 1, CPU: 500, MemMB: 256, Estimate: 60})
	before := b.handIn(body, steadyCallers, steadyJobs, steadyFor)
	if b.trouble {
		for _, e := range b.entries {
			if err := e.restart(stopGrace); err != nil {
				return notRun, err
			}
		}
	}
	last := b.handIn(body, 2, lastJobs, 15*time.Second)
	b.record.logf("end of the traffic")
	time.Sleep(finishTime)
	notBegun := b.record.notBegun(last)
	unanswered := b.askForAll(last)
	line := fmt.Sprintf("%d jobs accepted, and %d after the restarts; %s after the traffic %d of these have had no run, and %d get no answer", len(before), len(last), finishTime, notBegun, unanswered)
	b.record.logf("%s", line)
	fmt.Println(line)
	if notBegun > 0 || unanswered > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
