package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

func apply(t *testing.T, v *ledger.View, records ...fleet.Record) {
	for _, r := range records {
		require.NoError(t, v.Apply(r))
	}
}

func submission(id string) fleet.Submission {
	return fleet.Submission{ID: id, Queue: "q", Steps: []fleet.Step{{Count: 2}}, ArrivedMillis: 5}
}

// TestView_JobStates covers the states of jobs.
func TestView_JobStates(t *testing.T) {
	v := ledger.NewView()
	task := fleet.TaskID{Job: "a", Index: 1}
	apply(t, v, ledger.SubmissionRecord(submission("a")), ledger.SubmissionRecord(submission("b")))
	require.Equal(t, ledger.StateQueued, v.Jobs["a"].State())
	require.Equal(t, 2, v.Pending("q"))
	apply(t, v, ledger.AssignmentRecord(task, ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 1, Worker: "w", Began: true}))
	require.Equal(t, ledger.StateRunning, v.Jobs["a"].State())
	require.Equal(t, 1, v.Pending("q"))
	apply(t, v, ledger.ResultRecord("a", ledger.Result{Outcome: ledger.OutcomeCompleted, AtMillis: 9}), ledger.AssignmentTombstone(task))
	require.Equal(t, ledger.StateCompleted, v.Jobs["a"].State())
	require.Equal(t, int64(9), v.Jobs["a"].FinishedAtMillis)
	apply(t, v, ledger.CancellationRecord("b", 7))
	require.Equal(t, ledger.StateCancelled, v.Jobs["b"].State())
	require.Zero(t, v.Pending("q"))
	entries, result := ledger.JobTombstones("a")
	apply(t, v, append(entries, result)...)
	require.NotContains(t, v.Jobs, "a")
}

// TestView_AnyOrder reduces the newest records of the two streams in another order
// than they were written in.
func TestView_AnyOrder(t *testing.T) {
	task := fleet.TaskID{Job: "a"}
	records := []fleet.Record{
		ledger.SubmissionRecord(submission("a")),
		ledger.CancellationRecord("a", 3),
		ledger.AssignmentRecord(task, ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 4}),
	}
	for i := range records {
		v := ledger.NewView()
		for k := range records {
			apply(t, v, records[(i+k)%len(records)])
			apply(t, v, records[(i+k)%len(records)])
		}
		require.Equal(t, ledger.StateCancelled, v.Jobs["a"].State())
		require.Equal(t, 4, v.Jobs["a"].Tasks[task].Attempt)
		require.Zero(t, v.Pending("q"))
	}
}

// TestView_DuplicateSubmission retains the first submission of an ID.
func TestView_DuplicateSubmission(t *testing.T) {
	v := ledger.NewView()
	apply(t, v, ledger.SubmissionRecord(submission("a")))
	later := submission("a")
	later.ArrivedMillis = 99
	apply(t, v, ledger.SubmissionRecord(later))
	require.Equal(t, int64(5), v.Jobs["a"].Submission.ArrivedMillis)
	require.Equal(t, 1, v.Pending("q"))
}

// TestView_AssignedWithoutSubmission reads the ledger before the entries' streams.
func TestView_AssignedWithoutSubmission(t *testing.T) {
	v := ledger.NewView()
	task := fleet.TaskID{Job: "a"}
	apply(t, v, ledger.CancellationRecord("b", 3))
	require.Empty(t, v.AssignedWithoutSubmission())
	apply(t, v, ledger.AssignmentRecord(task, ledger.Assignment{Phase: ledger.PhaseDone, Attempt: 1}))
	require.Equal(t, "a", v.AssignedWithoutSubmission())
	apply(t, v, ledger.SubmissionRecord(submission("a")))
	require.Empty(t, v.AssignedWithoutSubmission())
	apply(t, v, ledger.AssignmentRecord(fleet.TaskID{Job: "c"}, ledger.Assignment{Attempt: 1}), ledger.ResultRecord("c", ledger.Result{Outcome: ledger.OutcomeCompleted}))
	require.Empty(t, v.AssignedWithoutSubmission(), "a job that has finished needs no submission")
}

func FuzzView_Apply(f *testing.F) {
	f.Add("ja", []byte(`{"q":"x","p":[{"n":1}]}`))
	f.Add("ta.0.0.0", []byte(`{"p":1}`))
	f.Add("w1", []byte(`{"b":1}`))
	f.Add("", []byte("x"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v := ledger.NewView()
		// Records that cannot be decoded are reported and change nothing.
		_ = v.Apply(fleet.Record{Key: key, Value: value})
		for _, j := range v.Jobs {
			j.State()
		}
	})
}

// TestView_PendingUntilATaskHasBegun counts a job as pending whose assignments are stored: its
// starts may be refused.
func TestView_PendingUntilATaskHasBegun(t *testing.T) {
	task := fleet.TaskID{Job: "a"}
	assigned := ledger.Assignment{Phase: ledger.PhaseAssigned, Attempt: 1, Worker: "w"}
	for name, begun := range map[string]ledger.Assignment{
		"running": {Phase: ledger.PhaseAssigned, Attempt: 1, Worker: "w", Began: true},
		"done":    {Phase: ledger.PhaseDone, Attempt: 1},
		"failed":  {Attempt: 1, Failures: 1},
	} {
		v := ledger.NewView()
		apply(t, v, ledger.SubmissionRecord(submission("a")), ledger.AssignmentRecord(task, assigned))
		require.Equal(t, 1, v.Pending("q"), name)
		require.Equal(t, ledger.StateQueued, v.Jobs["a"].State(), name)
		apply(t, v, ledger.AssignmentRecord(task, ledger.Assignment{Attempt: 1}))
		require.Equal(t, 1, v.Pending("q"), name)
		apply(t, v, ledger.AssignmentRecord(task, begun), ledger.AssignmentRecord(task, assigned))
		require.Equal(t, 0, v.Pending("q"), name)
		require.Equal(t, ledger.StateRunning, v.Jobs["a"].State(), name)
	}
}

// TestView_HeldBytes checks that a job counts from its submission to its end or removal, in
// whatever order its records arrive.
func TestView_HeldBytes(t *testing.T) {
	v := ledger.NewView()
	s := submission("a")
	apply(t, v, ledger.SubmissionRecord(s), ledger.SubmissionRecord(s))
	require.Equal(t, s.HeldBytes(), v.HeldBytes())
	apply(t, v, ledger.ResultRecord("a", ledger.Result{Outcome: ledger.OutcomeCompleted, AtMillis: 9}), ledger.CancellationRecord("a", 10))
	require.Zero(t, v.HeldBytes())
	apply(t, v, ledger.CancellationRecord("b", 7), ledger.SubmissionRecord(submission("b")))
	require.Zero(t, v.HeldBytes())
	apply(t, v, ledger.SubmissionRecord(submission("c")))
	require.Positive(t, v.HeldBytes())
	for _, id := range []string{"a", "b", "c"} {
		v.Remove(id)
	}
	require.Zero(t, v.HeldBytes())
}
