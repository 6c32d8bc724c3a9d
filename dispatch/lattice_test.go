package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var attemptEnds = []AttemptOutcome{AttemptRefused, AttemptAnswered, AttemptFailed, AttemptStopped, AttemptUnknown}

func drawEnds(t *rapid.T) []AttemptOutcome {
	return rapid.SliceOfN(rapid.SampledFrom(attemptEnds), 1, 8).Draw(t, "ends")
}

func fold(ends []AttemptOutcome) OutcomeKind {
	var out OutcomeKind
	for _, end := range ends {
		out = out.Join(end.RequestKind())
	}
	return out
}

// truthful reports whether the kind may be said of starts that ended so.
func truthful(kind OutcomeKind, ends []AttemptOutcome) bool {
	begun, answered := false, false
	for _, end := range ends {
		begun = begun || end.MayHaveStarted()
		answered = answered || end == AttemptAnswered
	}
	return (kind == NotRun) == !begun && (kind == Answered) == answered
}

func TestJoin_IsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := drawEnds(t)
		require.True(t, truthful(fold(ends), ends), "%v gave %s", ends, fold(ends))
	})
}

func TestJoin_IgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := drawEnds(t)
		require.Equal(t, fold(ends), fold(rapid.Permutation(ends).Draw(t, "permuted")))
	})
}

// TestJoin_NaiveFormIsUntruthful shows what the lattice is for: the outcome of
// the last start alone says not_run of a request that ran.
func TestJoin_NaiveFormIsUntruthful(t *testing.T) {
	ends := []AttemptOutcome{AttemptUnknown, AttemptRefused}
	naive := ends[len(ends)-1].RequestKind()
	require.False(t, truthful(naive, ends))
	require.True(t, truthful(fold(ends), ends))
}

func TestRetryBudget_IsATenthOfSuccesses(t *testing.T) {
	b := newRetryBudget()
	spent := 0
	for b.take() {
		spent++
	}
	require.Equal(t, maxSavedRetries, spent)
	for range 1000 {
		b.success()
	}
	for spent = 0; b.take(); spent++ {
	}
	require.Equal(t, 100, spent)
	for range 1_000_000 {
		b.success()
	}
	require.Equal(t, int64(maxSavedRetries*successesPerRetry), b.credit.Load())
}
