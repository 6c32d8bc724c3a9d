package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVMQuarantine_Table(t *testing.T) {
	minute := minQuarantine.Milliseconds()
	quarantine := func(vm string, expected uint64, cause QuarantineCause) *VMQuarantine {
		return &VMQuarantine{VM: vm, Pool: "a", Expected: expected, Cause: cause}
	}
	cases := []struct {
		name    string
		atMS    int64
		command Command
		reason  Reason
		serves  bool
		untilMS int64
	}{
		{"no such VM", 0, quarantine("none", 1, QuarantineJobFailures), ReasonNotFound, true, 0},
		{"old version", 0, quarantine("a0", 9, QuarantineJobFailures), ReasonVersion, true, 0},
		{"other pool", 0, &VMQuarantine{VM: "a0", Pool: "b", Expected: 1, Cause: QuarantineByOperator}, ReasonVersion, true, 0},
		{"no cause", 0, quarantine("a0", 1, ""), ReasonInvalid, true, 0},
		{"release of one in service", 0, &VMRelease{VM: "a0", Expected: 1}, ReasonStep, true, 0},
		{"first", 0, quarantine("a0", 1, QuarantineJobFailures), "", false, minute},
		{"again", 0, quarantine("a0", 2, QuarantineJobFailures), ReasonStep, false, minute},
		{"over the budget", 0, quarantine("a1", 1, QuarantineJobFailures), ReasonBudget, false, minute},
		{"drain over the budget", 0, &VMDrain{VM: "a1", Pool: "a", Expected: 1}, ReasonBudget, false, minute},
		{"release at an old version", minute, &VMRelease{VM: "a0", Expected: 1}, ReasonVersion, false, minute},
		{"release", minute, &VMRelease{VM: "a0", Expected: 2}, "", true, 0},
		{"second in a row", 2 * minute, quarantine("a0", 3, QuarantineJobFailures), "", false, 4 * minute},
		{"release by an operator", 3 * minute, &VMRelease{VM: "a0", Expected: 4, Repaired: true}, "", true, 0},
		{"first after a repair", 3 * minute, quarantine("a0", 5, QuarantineJobFailures), "", false, 4 * minute},
		{"release", 4 * minute, &VMRelease{VM: "a0", Expected: 6}, "", true, 0},
		{"by an operator", 4 * minute, quarantine("a0", 7, QuarantineByOperator), "", false, 0},
	}
	f := newFleetFixture(t)
	for _, c := range cases {
		f.seq["op"]++
		next, results := f.state.Apply(f.state.NextOffset, Batch{Writer: "op", AtMS: c.atMS, Records: []Record{{Seq: f.seq["op"], Command: c.command}}})
		f.state = next
		require.Equal(t, c.reason, rejectionReason(results[0].Rejection), c.name)
		require.Equal(t, c.serves, f.vm("a0").Available(), c.name)
		if c.untilMS != 0 {
			require.Equal(t, c.untilMS, f.vm("a0").Quarantine.UntilMS, c.name)
		}
	}
	require.Zero(t, f.vm("a0").Quarantine.UntilMS)
	require.Equal(t, maxQuarantine, quarantineDuration(100))
}

// TestJob_Verdicts checks the effect of a failed start under each verdict of
// the job's owner.
func TestJob_Verdicts(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		verdict    JobVerdict
		starts     int
		reason     JobFailureReason
	}{
		{"no verdict", true, JobVerdictNone, MaxFailedTargets, JobAttemptsExhausted},
		{"impossible", true, JobVerdictImpossible, 1, JobImpossible},
		{"open", true, JobVerdictInconclusive, MaxInconclusiveFailures, JobAttemptsExhausted},
		{"answer too large", true, JobVerdictAnswerTooLarge, 1, JobAnswerTooLarge},
		{"runs at most once", false, JobVerdictInconclusive, 1, JobNotRetried},
	}
	for _, c := range cases {
		log := newTestLog()
		require.Nil(t, log.apply(t, "a", baseTimeMS, &JobAccept{ID: "j", Team: "team", Idempotent: c.idempotent}))
		for n := 1; ; n++ {
			on := SlotLease{Target: string(rune('a' + n))}
			require.Nil(t, log.apply(t, "a", baseTimeMS, &JobStart{ID: "j", Epoch: 1, Slot: on}), c.name)
			require.Nil(t, log.apply(t, "a", baseTimeMS, &JobAttemptFinish{ID: "j", Epoch: 1, Attempt: n, Outcome: JobAttemptFailed, Verdict: c.verdict}), c.name)
			job, _ := log.state.Jobs.Get("j")
			require.Equal(t, n == c.starts, job.State.Finished(), c.name)
			if job.State.Finished() {
				require.Equal(t, c.reason, job.Reason, c.name)
				break
			}
		}
	}
}
