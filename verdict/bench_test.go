package verdict

import (
	"fmt"
	"testing"
	"time"
)

// targetsPerBadTarget sets the fraction of targets that fail everything: one in
// this many.
const targetsPerBadTarget = 50

// BenchmarkEstimator measures one failure and the verdicts that follow, with
// the maximum number of failures retained for every bad target.
func BenchmarkEstimator(b *testing.B) {
	for _, targets := range []int{50, 500, 5_000, 11_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			e := New(DefaultParams())
			at := time.Unix(0, 0)
			bad := max(1, targets/targetsPerBadTarget)
			fail := func(n int) {
				e.AddAttempt(Attempt{Job: fmt.Sprint(n), Team: fmt.Sprint(n % 6), Target: fmt.Sprint(n % bad), Failed: true, At: at})
			}
			for n := range bad * maxFailuresPerTarget {
				fail(n)
			}
			n := bad * maxFailuresPerTarget
			b.ReportAllocs()
			for b.Loop() {
				fail(n)
				e.IsImpossible(fmt.Sprint(n))
				e.Suspects()
				n++
			}
		})
	}
}
