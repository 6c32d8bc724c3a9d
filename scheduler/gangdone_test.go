package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// gangFleet returns a fleet with three workers that run a gang of three, its job, and the
// records of its assignment.
func gangFleet(t *testing.T) (*testFleet, *fleet.Submission, []ledgerRecord) {
	f := newTestFleet(t)
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		f.addWorker(id, testPool, 1)
	}
	f.advance(100 * time.Millisecond)
	sub := f.newJob("j", fleet.Step{Count: 3, Gang: true, EstimateMillis: secondsToMillis(1)})
	f.s.Submit(sub, f.now)
	f.s.Place(f.now)
	records := f.applyBatches()
	require.Equal(t, 3, total(f.running("j")))
	return f, sub, records
}

// workerOf returns the worker that runs the task.
func (f *testFleet) workerOf(task fleet.TaskID) string {
	for id, runs := range f.runs {
		if _, exists := runs[task]; exists {
			return id
		}
	}
	return ""
}

// TestGang_DoneBeforeTheTakeover guards against a new leader that starts a member of a gang
// again which is done: its worker was cut off when the gang ended, and has restarted.
func TestGang_DoneBeforeTheTakeover(t *testing.T) {
	f, sub, records := gangFleet(t)
	lost := f.workerOf(taskOf("j", 2))
	f.now = f.now.Add(1100 * time.Millisecond)
	for id := range f.workers {
		if id != lost {
			f.poll(id)
		}
	}
	records = append(records, f.applyBatches()...)
	require.False(t, f.s.jobs["j"].finished, "the run on the lost worker may go on")
	f.takeover(records, sub)
	w := f.workers[lost]
	w.StartedAtMillis = 2
	f.workers[lost], f.runs[lost], f.finished[lost] = w, map[fleet.TaskID]*fakeRun{}, nil
	f.s.SetWorkers(f.workers, f.now)
	f.advance(2 * time.Second)
	require.True(t, f.s.jobs["j"].finished)
	require.Equal(t, 1, f.s.findTask(taskOf("j", 2)).attempt, "the member has been started again")
}

// TestGang_MembersDiffer restores a gang of which one member is stored as done. The others
// are in any other state, and complete once they have no run.
func TestGang_MembersDiffer(t *testing.T) {
	done := ledger.Assignment{Phase: ledger.PhaseDone, Attempt: 1}
	assigned := func(id string) ledger.Assignment {
		return ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 1, Worker: id, WorkerStartedAtMillis: 1}
	}
	for name, others := range map[string][2]ledger.Assignment{
		"waiting":                        {{Attempt: 1}, {Attempt: 1}},
		"assigned, without a run":        {assigned("w-2"), assigned("w-3")},
		"assigned to a worker that left": {assigned("w-gone"), assigned("w-3")},
		"waiting, and a failed run":      {{Attempt: 1, Failures: 1}, assigned("w-3")},
		"done":                           {done, done},
	} {
		t.Run(name, func(t *testing.T) {
			f, sub, _ := gangFleet(t)
			for id := range f.runs {
				f.runs[id], f.finished[id] = map[fleet.TaskID]*fakeRun{}, nil
			}
			records := []ledgerRecord{ledgerRecord(ledger.AssignmentRecord(taskOf("j", 0), done))}
			for i, a := range others {
				records = append(records, ledgerRecord(ledger.AssignmentRecord(taskOf("j", i+1), a)))
			}
			f.takeover(records, sub)
			f.advance(8 * time.Second)
			require.True(t, f.s.jobs["j"].finished)
			require.Empty(t, f.running("j"))
			for _, member := range f.s.jobs["j"].occurrences[0].steps[0].tasks {
				require.LessOrEqual(t, member.attempt, 1, "%s has been started again", member.id)
			}
		})
	}
}

// TestGang_EndArrivesAfterTheTakeover restores a gang whose members' ends are read one by
// one: the first is stored and the next ones are not, or none is stored.
func TestGang_EndArrivesAfterTheTakeover(t *testing.T) {
	for name, stored := range map[string]int{"none is stored": 0, "one is stored": 1} {
		t.Run(name, func(t *testing.T) {
			f, sub, records := gangFleet(t)
			f.now = f.now.Add(1100 * time.Millisecond)
			if stored > 0 {
				f.poll(f.workerOf(taskOf("j", 0)))
				records = append(records, f.applyBatches()...)
			}
			f.takeover(records, sub)
			f.advance(time.Second)
			require.True(t, f.s.jobs["j"].finished)
			for _, member := range f.s.jobs["j"].occurrences[0].steps[0].tasks {
				require.Equal(t, 1, member.attempt, "%s has been started again", member.id)
			}
		})
	}
}

// TestGang_DependentStepStarts starts the step after a gang that was done at the takeover.
func TestGang_DependentStepStarts(t *testing.T) {
	f, _, _ := gangFleet(t)
	sub := f.newJob("k", fleet.Step{Count: 2, Gang: true, EstimateMillis: 100}, fleet.Step{EstimateMillis: secondsToMillis(60), DependsOn: []int{0}})
	for id := range f.runs {
		f.runs[id], f.finished[id] = map[fleet.TaskID]*fakeRun{}, nil
	}
	f.takeover([]ledgerRecord{
		ledgerRecord(ledger.AssignmentRecord(taskOf("k", 0), ledger.Assignment{Phase: ledger.PhaseDone, Attempt: 1})),
		ledgerRecord(ledger.AssignmentRecord(taskOf("k", 1), ledger.Assignment{Attempt: 1})),
	}, sub)
	f.advance(time.Second)
	require.Equal(t, 1, total(f.running("k")))
	require.Contains(t, f.runs[f.workerOf(fleet.TaskID{Job: "k", Step: 1})], fleet.TaskID{Job: "k", Step: 1})
}

// TestGang_OccurrencesPartlyDone restores a job whose gang runs twice: the first occurrence
// has one member stored as done, the second is assigned to a worker that has restarted.
func TestGang_OccurrencesPartlyDone(t *testing.T) {
	f, _, _ := gangFleet(t)
	for id := range f.runs {
		f.runs[id], f.finished[id] = map[fleet.TaskID]*fakeRun{}, nil
	}
	sub := f.newJob("k", fleet.Step{Count: 2, Gang: true, EstimateMillis: 100})
	sub.Occurrences, sub.FirstDueMillis = 2, f.now.UnixMilli()
	second := fleet.TaskID{Job: "k", Occurrence: 1}
	f.takeover([]ledgerRecord{
		ledgerRecord(ledger.AssignmentRecord(taskOf("k", 0), ledger.Assignment{Phase: ledger.PhaseDone, Attempt: 1})),
		ledgerRecord(ledger.AssignmentRecord(taskOf("k", 1), ledger.Assignment{Attempt: 1})),
		ledgerRecord(ledger.AssignmentRecord(second, ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 1, Worker: "w-1", WorkerStartedAtMillis: 1})),
	}, sub)
	require.Len(t, f.s.jobs["k"].finishedOccurrences, 1)
	require.False(t, f.s.jobs["k"].finished)
	f.advance(time.Second)
	require.True(t, f.s.jobs["k"].finished)
	require.Equal(t, 2, f.s.findTask(second).attempt, "the run of the second occurrence was lost")
	require.Zero(t, f.attempts[taskOf("k", 1)], "a member of the first occurrence has started again")
}
