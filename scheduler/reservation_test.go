package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// wideStream is a stream of small tasks that nearly fills a pool, and one wide task.
type wideStream struct {
	// factor is how long the small tasks take as a multiple of their estimates.
	factor    float64
	lookahead bool
	// small is what a small task needs, wide what the wide one does.
	small, wide fleet.Resources
	// during is called in every step once the wide task waits.
	during func(f *testFleet, waited time.Duration)
}

const wideJob = "wide"

// play returns how long the wide task waited, at most the given time, and the fleet.
func (w wideStream) play(t *testing.T, seed uint64, most time.Duration) (time.Duration, *testFleet) {
	r := rand.New(rand.NewPCG(seed, 1))
	f := newTestFleet(t)
	f.s.cfg.Policies.Lookahead = w.lookahead
	for _, id := range []string{"w-1", "w-2", "w-3", "w-4"} {
		f.addWorker(id, testPool, 16)
	}
	f.runTime = func(id fleet.TaskID) time.Duration {
		return time.Duration(w.factor * float64(f.s.findTask(id).step.def.Estimate()))
	}
	f.advance(100 * time.Millisecond)
	next := 0
	stream := func() {
		// Small tasks take every gap: some always wait.
		for waiting := len(f.s.ready); waiting < 12; waiting++ {
			next++
			f.s.Submit(f.newJob(jobID(next), fleet.Step{EstimateMillis: 300 + int64(r.IntN(600)), Need: w.small}), f.now)
		}
		f.advance(50 * time.Millisecond)
	}
	for range 20 {
		stream()
	}
	f.s.Submit(f.newJob(wideJob, fleet.Step{EstimateMillis: 4000, Need: w.wide}), f.now)
	start := f.now
	for f.now.Sub(start) < most && total(f.running(wideJob)) == 0 {
		stream()
		if w.during != nil {
			w.during(f, f.now.Sub(start))
		}
	}
	return f.now.Sub(start), f
}

var (
	smallCPU = fleet.Resources{MilliCPU: 2000, MemMB: 100}
	wideCPU  = fleet.Resources{MilliCPU: 12000, MemMB: 100}
)

// TestReservation_WaitIsBounded plays a stream of small tasks, whose estimates hold or are
// wrong either way: the wide one waits no longer than the longest run that was under way,
// and what one that ran in the gap took beyond its estimate. Without reservations it waits
// longer.
func TestReservation_WaitIsBounded(t *testing.T) {
	const (
		longest = 900 * time.Millisecond
		rounds  = 200 * time.Millisecond
	)
	for _, factor := range []float64{0.5, 1, 1.5, 2.5} {
		bound := time.Duration((max(1, factor)+max(0, factor-1))*float64(longest)) + rounds
		for seed := range uint64(5) {
			waited, f := wideStream{factor: factor, lookahead: true, small: smallCPU, wide: wideCPU}.play(t, seed, 4*bound)
			require.LessOrEqual(t, waited, bound, "factor %v, seed %d", factor, seed)
			require.Empty(t, f.s.reservations)
			waited, _ = wideStream{factor: factor, small: smallCPU, wide: wideCPU}.play(t, seed, 2*bound)
			require.Greater(t, waited, bound, "factor %v, seed %d: the wide task gets room without a reservation", factor, seed)
		}
	}
}

// TestReservation_CountsMemory plays the same with workers that are full of memory while
// half of their cores are free.
func TestReservation_CountsMemory(t *testing.T) {
	small, wide := fleet.Resources{MilliCPU: 1000, MemMB: 8000}, fleet.Resources{MilliCPU: 2000, MemMB: 48000}
	waited, _ := wideStream{factor: 1, lookahead: true, small: small, wide: wide}.play(t, 1, 5*time.Second)
	require.LessOrEqual(t, waited, 1100*time.Millisecond)
	waited, _ = wideStream{factor: 1, small: small, wide: wide}.play(t, 1, 1900*time.Millisecond)
	require.GreaterOrEqual(t, waited, 1900*time.Millisecond)
}

// TestReservation_WorkerIsLost loses each worker that gets the reservation, twice: the
// step gets another one.
func TestReservation_WorkerIsLost(t *testing.T) {
	lost := 0
	during := func(f *testFleet, _ time.Duration) {
		for _, r := range f.s.reservations {
			if lost < 2 {
				lost++
				id := r.worker.info.ID
				delete(f.workers, id)
				delete(f.runs, id)
				f.s.EndIncarnation(id, f.now, "it has ended")
				f.s.SetWorkers(f.workers, f.now)
			}
		}
	}
	waited, f := wideStream{factor: 1, lookahead: true, small: smallCPU, wide: wideCPU, during: during}.play(t, 1, 10*time.Second)
	require.Equal(t, 2, lost)
	require.LessOrEqual(t, waited, 2*time.Second)
	for _, w := range f.s.workers {
		require.Nil(t, w.reservation)
	}
}

// TestReservation_Takeover lets a new leader take over while a reservation holds: it
// derives one of its own.
func TestReservation_Takeover(t *testing.T) {
	tookOver := false
	during := func(f *testFleet, waited time.Duration) {
		if tookOver || len(f.s.reservations) == 0 {
			return
		}
		tookOver = true
		var subs []*fleet.Submission
		for _, j := range f.s.jobs {
			subs = append(subs, j.sub)
		}
		f.takeover(f.recorded, subs...)
		f.s.cfg.Policies.Lookahead = true
		require.Empty(f.t, f.s.reservations)
	}
	waited, _ := wideStream{factor: 1, lookahead: true, small: smallCPU, wide: wideCPU, during: during}.play(t, 1, 10*time.Second)
	require.True(t, tookOver)
	require.LessOrEqual(t, waited, 2500*time.Millisecond)
}

// TestReservation_Filling checks what may use a reserved worker: what ends before, what
// fits beside, and more urgent work.
func TestReservation_Filling(t *testing.T) {
	f := newTestFleet(t)
	f.s.cfg.Policies.Lookahead = true
	f.addWorker("w-1", testPool, 16)
	f.advance(100 * time.Millisecond)
	submit := func(id string, milliCPU, millis int64) {
		f.s.Submit(f.newJob(id, fleet.Step{EstimateMillis: millis, Need: fleet.Resources{MilliCPU: milliCPU}}), f.now)
		f.advance(50 * time.Millisecond)
	}
	submit("running", 4000, 1000)
	submit("longer", 4000, 3000)
	submit(wideJob, 10000, 6000)
	require.Len(t, f.s.reservations, 1)
	submit("long", 3000, 2500)
	require.Zero(t, total(f.running("long")), "it keeps the wide task waiting")
	submit("short", 3000, 300)
	require.Equal(t, 1, total(f.running("short")), "it ends before")
	submit("beside", 2000, 2500)
	require.Equal(t, 1, total(f.running("beside")), "it fits beside the wide task")
	urgent := f.s.findTask(taskOf("long", 0)).step.occurrence.job
	f.s.findTask(taskOf(wideJob, 0)).step.occurrence.job.queue.Priority = 1
	urgent.queue.Priority = 0
	f.advance(400 * time.Millisecond)
	require.Equal(t, 1, total(f.running("long")), "it is more urgent")
}

// TestReservation_EndsWithItsUse ends reservations of steps that are cancelled or can only
// be late, and keeps their number bounded.
func TestReservation_EndsWithItsUse(t *testing.T) {
	f := newTestFleet(t)
	f.s.cfg.Policies.Lookahead = true
	for i := range 64 {
		f.addWorker("w-"+jobID(i), testPool, 16)
	}
	f.advance(100 * time.Millisecond)
	f.s.Submit(f.newJob("small", fleet.Step{Count: 512, EstimateMillis: 1500, Need: fleet.Resources{MilliCPU: 2000}}), f.now)
	f.advance(100 * time.Millisecond)
	for i := range 20 {
		f.s.Submit(f.newJob(jobID(i), fleet.Step{EstimateMillis: 3000, Need: fleet.Resources{MilliCPU: 12000}}), f.now)
	}
	f.advance(200 * time.Millisecond)
	require.Len(t, f.s.reservations, 64/workersPerReservation)
	for st := range f.s.reservations {
		f.s.Cancel(st.occurrence.job.sub.ID, f.now)
		break
	}
	f.s.Place(f.now)
	f.s.reviewReservations(f.s.newRound(f.now), f.now)
	for st, r := range f.s.reservations {
		require.True(t, st.ready())
		require.Same(t, r, r.worker.reservation)
	}
	f.runTime = func(fleet.TaskID) time.Duration { return time.Hour }
	f.now = f.now.Add(5 * time.Second)
	for id := range f.workers {
		f.poll(id)
	}
	f.s.Place(f.now)
	require.Empty(t, f.s.reservations, "no job can be on time")
}
