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

func joinAll(ends []AttemptOutcome) OutcomeKind {
	var out OutcomeKind
	for _, end := range ends {
		out = out.Join(end.RequestKind())
	}
	return out
}

// consistent reports whether the kind may be said of starts that ended so.
func consistent(kind OutcomeKind, ends []AttemptOutcome) bool {
	begun, answered := false, false
	for _, end := range ends {
		begun = begun || end.MayHaveStarted()
		answered = answered || end == AttemptAnswered
	}
	return (kind == NotRun) == !begun && (kind == Answered) == answered
}

func TestJoin_MatchesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := drawAttemptOutcomes(t)
		require.True(t, consistent(joinAll(ends), ends), "%v gave %s", ends, joinAll(ends))
	})
}

func TestJoin_IgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := drawAttemptOutcomes(t)
		require.Equal(t, joinAll(ends), joinAll(rapid.Permutation(ends).Draw(t, "permuted")))
	})
}

// TestJoin_LastOutcomeAloneIsWrong shows what the lattice is for: the outcome of
// the last start alone says not_run of a request that ran.
func TestJoin_LastOutcomeAloneIsWrong(t *testing.T) {
	ends := []AttemptOutcome{AttemptUnknown, AttemptRefused}
	naive := ends[len(ends)-1].RequestKind()
	require.False(t, consistent(naive, ends))
	require.True(t, consistent(joinAll(ends), ends))
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
