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

// failureCountOnly leaves the verdict to the number of failures.
type failureCountOnly struct{}

func (failureCountOnly) ClassifyFailure(*statemachine.Job) statemachine.JobVerdict {
	return statemachine.JobVerdictNone
}

// TestRunner_DistinguishesBadTargetsFromImpossibleJobs runs jobs of two teams
// while three of the four targets fail everything for 2 s, and then jobs that
// can never run. Counting failures alone ends jobs that can run.
func TestRunner_DistinguishesBadTargetsFromImpossibleJobs(t *testing.T) {
	const jobs = 40
	run := func(t *testing.T, classifier FailureClassifier) (wrong int, impossible []statemachine.JobFailureReason) {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t)
			if classifier != nil {
				for _, e := range cluster.entries {
					e.cfg.Classifier = classifier
				}
			}
			for i := range vms - 1 {
				cluster.fleet.SetFaults(vmID(i), fakeworkers.Faults{FailTasks: true})
			}
			for i := range jobs {
				cluster.accept(fmt.Sprint(i), []string{teamA, teamB}[i%2], true, `{"work_ms":100}`)
			}
			time.Sleep(2 * time.Second)
			for i := range vms {
				cluster.fleet.SetFaults(vmID(i), fakeworkers.Faults{})
			}
			for i := range jobs {
				wrong += boolToInt(cluster.awaitFinished(fmt.Sprint(i)).State != statemachine.JobDone)
			}
			// Every target succeeds again.
			for i := range 4 * vms {
				id := fmt.Sprint("after-", i)
				cluster.accept(id, teamA, true, `{"work_ms":1000}`)
				require.Equal(t, statemachine.JobDone, cluster.awaitFinished(id).State)
			}
			for i := range 3 {
				cluster.accept(fmt.Sprint("fails-", i), teamA, true, `{"fail":true}`)
				impossible = append(impossible, cluster.awaitFinished(fmt.Sprint("fails-", i)).Reason)
			}
		})
		return wrong, impossible
	}
	wrong, _ := run(t, failureCountOnly{})
	require.Positive(t, wrong, "counting failures alone must end jobs that can run")
	wrong, impossible := run(t, nil)
	require.Zero(t, wrong)
	for _, reason := range impossible {
		require.Equal(t, statemachine.JobImpossible, reason)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRunner_AnswerTooLarge checks that a job whose answer is too large to
// retain is not started again.
func TestRunner_AnswerTooLarge(t *testing.T) {
	finish := withAnswer(&statemachine.JobAttemptFinish{}, make([]byte, MaxAnswerBytes+1))
	(&execution{}).setVerdict(nil, finish)
	require.Equal(t, statemachine.JobAttemptFailed, finish.Outcome)
	require.Equal(t, statemachine.JobVerdictAnswerTooLarge, finish.Verdict)
}
