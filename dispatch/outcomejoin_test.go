package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var attemptOutcomes = []AttemptOutcome{AttemptRefused, AttemptAnswered, AttemptFailed, AttemptStopped, AttemptUnknown}

func drawAttemptOutcomes(t *rapid.T) []AttemptOutcome {
	return rapid.SliceOfN(rapid.SampledFrom(attemptOutcomes), 1, 8).Draw(t, "ends")
}

func joinAll(outcomes []AttemptOutcome) OutcomeKind {
	var out OutcomeKind
	for _, outcome := range outcomes {
		out = out.Join(outcome.RequestKind())
	}
	return out
}

// consistent reports whether the kind is correct for these attempts.
func consistent(kind OutcomeKind, outcomes []AttemptOutcome) bool {
	started, answered := false, false
	for _, outcome := range outcomes {
		started = started || outcome.MayHaveStarted()
		answered = answered || outcome == AttemptAnswered
	}
	return (kind == NotRun) == !started && (kind == Answered) == answered
}

func TestJoin_MatchesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := drawAttemptOutcomes(t)
		require.True(t, consistent(joinAll(outcomes), outcomes), "%v gave %s", outcomes, joinAll(outcomes))
	})
}

func TestJoin_IgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := drawAttemptOutcomes(t)
		require.Equal(t, joinAll(outcomes), joinAll(rapid.Permutation(outcomes).Draw(t, "permuted")))
	})
}

// TestJoin_LastOutcomeAloneIsWrong checks that the outcome of the last attempt
// alone would report not_run for a request that may have run.
func TestJoin_LastOutcomeAloneIsWrong(t *testing.T) {
	outcomes := []AttemptOutcome{AttemptUnknown, AttemptRefused}
	last := outcomes[len(outcomes)-1].RequestKind()
	require.False(t, consistent(last, outcomes))
	require.True(t, consistent(joinAll(outcomes), outcomes))
}

func TestRetryBudget_IsATenthOfSuccesses(t *testing.T) {
	b := newRetryBudget()
	spent := 0
	for b.spend() {
		spent++
	}
	require.Equal(t, maxSavedRetries, spent)
	for range 1000 {
		b.recordSuccess()
	}
	for spent = 0; b.spend(); spent++ {
	}
	require.Equal(t, 100, spent)
	for range 1_000_000 {
		b.recordSuccess()
	}
	require.Equal(t, int64(maxSavedRetries*successesPerRetry), b.credit.Load())
}
