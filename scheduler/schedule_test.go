package scheduler

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
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

// catchUp lets a job of two steps, far behind its schedule, run for the time.
func catchUp(t *testing.T, due int, d time.Duration) (*testFleet, *fleet.Submission) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 16)
	f.addWorker("w-2", testPool, 16)
	f.advance(100 * time.Millisecond)
	sub := f.overdueJob("behind", due, fleet.Step{EstimateMillis: 100}, fleet.Step{EstimateMillis: 100, DependsOn: []int{0}})
	f.s.Submit(sub, f.now)
	f.advance(d)
	require.False(t, f.s.jobs["behind"].finished)
	require.Greater(t, f.s.jobs["behind"].countFinished(), tasksPerProgress)
	return f, sub
}

// TestSchedule_CatchesUp checks that all overdue occurrences run, each once, across a takeover
// in their midst, and that the job then ends.
func TestSchedule_CatchesUp(t *testing.T) {
	const due = 2_000
	f, sub := catchUp(t, due, 10*time.Second)
	f.takeover(f.recorded, sub)
	f.advance(50 * time.Second)
	require.True(t, f.s.jobs["behind"].finished)
	require.Len(t, f.attempts, 2*due)
	for id, runs := range f.attempts {
		require.Equal(t, 1, runs, id)
	}
}

// TestSchedule_StoredProgress guards against an entry that runs out of memory because the ledger
// keeps a record of each task of each finished occurrence.
func TestSchedule_StoredProgress(t *testing.T) {
	const due, open = 2_000, 2 * (maxReadyTasks + 32)
	f, sub := catchUp(t, due, 10*time.Second)
	f.advance(50 * time.Second)
	require.True(t, f.s.jobs["behind"].finished)
	view, most := ledger.NewView(), 0
	require.NoError(t, view.Apply(ledger.SubmissionRecord(*sub)))
	for _, r := range f.recorded {
		require.NoError(t, view.Apply(fleet.Record(r)))
		most = max(most, len(view.Jobs["behind"].Tasks))
	}
	require.LessOrEqual(t, most, open+2*tasksPerProgress)
	require.Empty(t, view.Jobs["behind"].Tasks)
	require.Equal(t, ledger.StateCompleted, view.Jobs["behind"].State())
}

// TestSchedule_TakeoverBetweenItsRecords guards against a task that runs again because a leader
// has read the tombstones of an occurrence's tasks, or a part of them, and not its progress.
func TestSchedule_TakeoverBetweenItsRecords(t *testing.T) {
	f, sub := catchUp(t, 2_000, 12*time.Second)
	done := map[fleet.TaskID]bool{}
	view := ledger.NewView()
	require.NoError(t, view.Apply(ledger.SubmissionRecord(*sub)))
	for i, r := range f.recorded {
		require.NoError(t, view.Apply(fleet.Record(r)))
		if id, err := fleet.ParseTaskID(r.Key[1:]); err == nil && view.Jobs["behind"].Tasks[id].Phase == ledger.PhaseDone {
			done[id] = true
		}
		if i%16 != 0 {
			continue
		}
		next := f.newLeader(f.s.cfg.FencingToken + 1)
		next.RestoreJob(view.Jobs["behind"], f.now)
		for id := range done {
			if task := next.findTask(id); task != nil {
				require.Equal(t, ledger.PhaseDone, task.assignment().Phase, id)
			} else {
				require.True(t, next.occurrenceFinished(id), id)
			}
		}
	}
	require.Positive(t, view.Jobs["behind"].FinishedBefore)
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
			require.Greater(t, len(f.s.jobs["behind"].occurrences), fleet.MaxOverlap)
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
		require.LessOrEqual(t, f.openTasks(jobID(i)), fleet.MaxOverlap*tasks)
	}
	f.s.Submit(f.overdueJob("next", 1, fleet.Step{EstimateMillis: 100}), f.now)
	f.advance(time.Second)
	require.True(t, f.s.jobs["next"].finished)
}

// TestSchedule_StartOfFinishedOccurrence guards against a start that is repeated after its task's
// occurrence has finished and is forgotten: the run has ended, and the worker may have restarted.
func TestSchedule_StartOfFinishedOccurrence(t *testing.T) {
	f := newTestFleet(t)
	f.addWorker("w-1", testPool, 4)
	f.advance(100 * time.Millisecond)
	sub := f.overdueJob("behind", 1, fleet.Step{EstimateMillis: 100})
	sub.Occurrences = 2 // The second one is due in a minute.
	f.s.Submit(sub, f.now)
	f.advance(400 * time.Millisecond)
	first := fleet.TaskID{Job: "behind"}
	require.Nil(t, f.s.findTask(first))
	require.True(t, f.s.StartSettled(&fleet.StartRequest{Task: first, Attempt: 1}))
}

// TestSchedule_HeldBytes guards against a bound of what accepted jobs take that counts less than
// the scheduler holds of them.
func TestSchedule_HeldBytes(t *testing.T) {
	wide := fleet.Step{Count: fleet.MaxTasks, Label: "none"}
	var chain []fleet.Step
	for i := range fleet.MaxSteps {
		step := fleet.Step{Label: "none"}
		for dependency := range i {
			step.DependsOn = append(step.DependsOn, dependency)
		}
		chain = append(chain, step)
	}
	for name, steps := range map[string][]fleet.Step{"tasks": {wide}, "steps": chain} {
		t.Run(name, func(t *testing.T) {
			const jobs = 5
			f := newTestFleet(t)
			before, counted := heapInUse(), int64(0)
			for i := range jobs {
				own := make([]fleet.Step, len(steps))
				for k, step := range steps {
					own[k] = step
					own[k].DependsOn = append([]int(nil), step.DependsOn...)
				}
				sub := f.newJob(jobID(i), own...)
				counted += sub.HeldBytes()
				f.s.Submit(sub, f.now)
			}
			held := heapInUse() - before
			t.Logf("%d bytes held, %d counted", held, counted)
			require.Less(t, held, counted)
			runtime.KeepAlive(f)
		})
	}
}
