package job

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// countOnly is a judge that leaves everything to the number of failures.
type countOnly struct{}

func (countOnly) ClassifyFailure(*statemachine.Job) statemachine.JobVerdict {
	return statemachine.JobVerdictNone
}

// TestRunner_BadTargetsOrImpossibleJobs carries out jobs of two teams while
// three of the four targets fail everything for 2 s, and jobs that can never
// run after that. Counting failures alone ends jobs that can run.
func TestRunner_BadTargetsOrImpossibleJobs(t *testing.T) {
	const jobs = 40
	run := func(t *testing.T, judge FailureClassifier) (wrong int, impossible []statemachine.JobFailureReason) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			if judge != nil {
				for _, e := range w.entries {
					e.cfg.Classifier = judge
				}
			}
			for i := range vms - 1 {
				w.fleet.SetFaults(vmID(i), fakeworkers.Faults{FailTasks: true})
			}
			for i := range jobs {
				w.accept(fmt.Sprint(i), []string{teamA, teamB}[i%2], true, `{"work_ms":100}`)
			}
			time.Sleep(2 * time.Second)
			for i := range vms {
				w.fleet.SetFaults(vmID(i), fakeworkers.Faults{})
			}
			for i := range jobs {
				wrong += one(w.await(fmt.Sprint(i)).State != statemachine.JobDone)
			}
			// Every target shows that it runs work again.
			for i := range 4 * vms {
				id := fmt.Sprint("after-", i)
				w.accept(id, teamA, true, `{"work_ms":1000}`)
				require.Equal(t, statemachine.JobDone, w.await(id).State)
			}
			for i := range 3 {
				w.accept(fmt.Sprint("fails-", i), teamA, true, `{"fail":true}`)
				impossible = append(impossible, w.await(fmt.Sprint("fails-", i)).Reason)
			}
		})
		return wrong, impossible
	}
	wrong, _ := run(t, countOnly{})
	require.Positive(t, wrong, "the count alone must end jobs that can run")
	wrong, impossible := run(t, nil)
	require.Zero(t, wrong)
	for _, reason := range impossible {
		require.Equal(t, statemachine.JobImpossible, reason)
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRunner_AnswerTooLarge checks that a job whose answer cannot be kept is
// not started again.
func TestRunner_AnswerTooLarge(t *testing.T) {
	end := withAnswer(&statemachine.JobAttemptFinish{}, make([]byte, MaxAnswerBytes+1))
	(&run{}).addVerdict(nil, end)
	require.Equal(t, statemachine.JobAttemptFailed, end.Outcome)
	require.Equal(t, statemachine.JobVerdictAnswerTooLarge, end.Verdict)
}
