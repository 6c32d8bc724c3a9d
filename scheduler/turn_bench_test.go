package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// BenchmarkTurnChange plans the VMs of a large fleet at the change from one queue's turn
// to the next, with the policies off and on.
func BenchmarkTurnChange(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("policies=%v", on), func(b *testing.B) {
			f := newTestFleet(b)
			f.s.cfg.Policies = Policies{Consolidation: on, Preemption: on}
			f.s.cfg.MaxStopTime, f.s.cfg.RestoreTime = 400*time.Millisecond, 100*time.Millisecond
			for i := range 300 {
				f.addVM(fmt.Sprintf("d%03d", i), testPool, 64)
			}
			for i := range 20 {
				f.addVM(fmt.Sprintf("o%03d", i), otherPool, 64)
			}
			f.advance(3 * time.Second)
			step := func(i int, after ...int) fleet.Step {
				return fleet.Step{Count: 8, EstimateMillis: int64(600 + 200*(i%9)), Checkpointing: i%5 > 0, Need: fleet.Resources{MilliCPU: 6200}, DependsOn: after}
			}
			for i := range 2000 {
				f.s.Submit(f.newJob(jobID(i), step(i), step(i, 0)), f.now)
				if i%20 == 0 {
					f.advance(50 * time.Millisecond)
				}
			}
			for i := range 300 {
				job := f.newJob(fmt.Sprintf("b%015x", i), step(i))
				job.Queue = "books"
				f.s.Submit(job, f.now)
			}
			f.listVMs()
			b.ResetTimer()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				f.s.PlanVMs(f.now)
			}
		})
	}
}
