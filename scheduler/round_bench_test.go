package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// BenchmarkRound measures one round of placement in a full pool with small and wide steps
// that wait, a few workers having just got room.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{349, 3006} {
		for _, waiting := range []int{20, 2000} {
			for _, lookahead := range []bool{false, true} {
				b.Run(fmt.Sprintf("workers=%d/steps=%d/lookahead=%v", workers, waiting, lookahead), func(b *testing.B) {
					benchmarkRound(b, workers, waiting, lookahead)
				})
			}
		}
	}
}

func benchmarkRound(b *testing.B, workers, waiting int, lookahead bool) {
	const cores = 64
	r := rand.New(rand.NewPCG(1, 1))
	f := newTestFleet(b)
	f.s.cfg.Policies.Lookahead = lookahead
	for i := range workers {
		id := "w-" + jobID(i)
		f.workers[id] = fleet.Worker{ID: id, Address: "10.0.0.1:1", Pool: testPool, Capacity: fleet.Resources{MilliCPU: cores * 1000, MemMB: 4096 * cores}, StartedAtMillis: 1}
		f.runs[id] = map[fleet.TaskID]*fakeRun{}
	}
	f.s.SetWorkers(f.workers, f.now)
	f.advance(100 * time.Millisecond)
	submit := func(number int) {
		milliCPU := 2000 + int64(8000*r.ExpFloat64())
		f.s.Submit(f.newJob(jobID(number), fleet.Step{Count: 8, EstimateMillis: 500 + int64(r.IntN(3000)),
			Need: fleet.Resources{MilliCPU: min(40_000, milliCPU), MemMB: min(82_000, 2*milliCPU)}}), f.now)
	}
	for i := range workers {
		submit(i)
	}
	f.s.Place(f.now)
	f.applyBatches()
	for i := range waiting {
		submit(workers + i)
	}
	f.s.Place(f.now)
	f.applyBatches()
	next := workers + waiting
	for b.Loop() {
		b.StopTimer()
		ended := 0
		for id := range f.workers {
			for task := range f.runs[id] {
				f.finishRun(id, task, fleet.RunDone)
				break
			}
			f.poll(id)
			if ended++; ended == 8 {
				break
			}
		}
		f.now = f.now.Add(20 * time.Millisecond)
		next++
		submit(next)
		for _, w := range f.s.workers {
			w.lastPollAt = f.now
		}
		b.StartTimer()
		f.s.Place(f.now)
		b.StopTimer()
		f.applyBatches()
		b.StartTimer()
	}
}
