package scheduler

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const testInterval = time.Minute

// overdueJob returns a job of which the number of occurrences are due.
func (f *testFleet) overdueJob(id string, due int, steps ...fleet.Step) *fleet.Submission {
	sub := f.newJob(id, steps...)
	sub.IntervalMillis = testInterval.Milliseconds()
	sub.FirstDueMillis = f.now.Add(-time.Duration(due-1) * testInterval).UnixMilli()
	sub.Occurrences = due
	return sub
}

// openTasks counts the tasks that the scheduler holds of the job.
func (f *testFleet) openTasks(job string) int {
	sum := 0
	for _, o := range f.s.jobs[job].occurrences {
		sum += o.remainingTasks
	}
	return sum
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestSchedule_FarBehind guards against a leader that runs out of memory because it holds all
// overdue occurrences of a job at once, and so does the next one: what it holds does not grow
// with their number, and other jobs run.
func TestSchedule_FarBehind(t *testing.T) {
	const ordinaryJobs, maxGrowth = 40, 4 << 20
	base := int64(0)
	for _, due := range []int{1_000, 30_000, 525_600} {
		before := heapInUse()
		f := newTestFleet(t)
		f.addWorker("w-1", testPool, 8)
		f.addWorker("w-2", testPool, 8)
		f.advance(100 * time.Millisecond)
		subs := []*fleet.Submission{f.overdueJob("behind", due, fleet.Step{Count: 8, Label: "none", EstimateMillis: 100})}
		for i := range ordinaryJobs {
			subs = append(subs, f.newJob(jobID(i), fleet.Step{EstimateMillis: 100}))
		}
		check := func() {
			held := heapInUse() - before
			t.Logf("%d overdue occurrences: %d kB held", due, held>>10)
			if base == 0 {
				base = held
			}
			require.Less(t, held-base, int64(maxGrowth), "%d occurrences", due)
			require.LessOrEqual(t, f.openTasks("behind"), maxReadyTasks+8)
		}
		for _, sub := range subs {
			f.s.Submit(sub, f.now)
		}
		f.advance(3 * time.Second)
		for i := range ordinaryJobs {
			require.True(t, f.s.jobs[jobID(i)].finished, "an ordinary job has not run")
		}
		check()
		f.takeover(f.recorded, subs...)
		f.advance(time.Second)
		check()
	}
}

// TestSchedule_CatchesUp checks that all overdue occurrences run, each once, across a takeover
// in their midst, and that the job then ends.
func TestSchedule_CatchesUp(t *testing.T) {
	const due = 1_000
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 16)
	f.addWorker("w-2", testPool, 16)
	f.advance(100 * time.Millisecond)
	sub := f.overdueJob("behind", due, fleet.Step{EstimateMillis: 100}, fleet.Step{EstimateMillis: 100, DependsOn: []int{0}})
	f.s.Submit(sub, f.now)
	f.advance(5 * time.Second)
	require.False(t, f.s.jobs["behind"].finished)
	require.Greater(t, len(f.s.jobs["behind"].finishedOccurrences), due/10)
	f.takeover(f.recorded, sub)
	f.advance(30 * time.Second)
	require.True(t, f.s.jobs["behind"].finished)
	require.Len(t, f.attempts, 2*due)
	for id, runs := range f.attempts {
		require.Equal(t, 1, runs, id)
	}
}

// TestSchedule_OccurrencesOverlap guards against a job that waits for the room of one occurrence
// while the next one has room: a limit per worker holds within an occurrence, and a step that
// waits for another one needs no room yet.
func TestSchedule_OccurrencesOverlap(t *testing.T) {
	const cores = 32
	for name, steps := range map[string][]fleet.Step{
		"limit per worker": {{Count: 2 * maxReadyTasks, MaxPerWorker: 1, EstimateMillis: secondsToMillis(60)}},
		"dependency":       {{EstimateMillis: secondsToMillis(60)}, {Count: 2 * maxReadyTasks, DependsOn: []int{0}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addWorker("w-1", testPool, cores)
			f.addWorker("w-2", testPool, cores)
			f.advance(100 * time.Millisecond)
			f.s.Submit(f.overdueJob("behind", 100, steps...), f.now)
			f.advance(time.Second)
			expected := min(2*cores, len(f.s.jobs["behind"].occurrences)*max(1, 2*steps[0].MaxPerWorker))
			require.Equal(t, expected, total(f.running("behind")))
			require.Greater(t, len(f.s.jobs["behind"].occurrences), maxOverlap)
		})
	}
}

// TestSchedule_JobsBehindShareTheWindow checks that each of many jobs that are behind holds a
// few occurrences only, and that a job with a due occurrence gets that one all the same.
func TestSchedule_JobsBehindShareTheWindow(t *testing.T) {
	const jobs, tasks = 200, 100
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 8)
	f.advance(100 * time.Millisecond)
	for i := range jobs {
		f.s.Submit(f.overdueJob(jobID(i), 1_000, fleet.Step{Count: tasks, MaxPerWorker: 1, Label: "none"}), f.now)
	}
	f.s.Tick(f.now)
	for i := range jobs {
		require.LessOrEqual(t, f.openTasks(jobID(i)), maxOverlap*tasks)
	}
	f.s.Submit(f.overdueJob("next", 1, fleet.Step{EstimateMillis: 100}), f.now)
	f.advance(time.Second)
	require.True(t, f.s.jobs["next"].finished)
}
