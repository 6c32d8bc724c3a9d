package verdict

import (
	"fmt"
	"testing"
	"time"
)

// badPart is the part of the targets that fail everything: one in this many.
const badPart = 50

// BenchmarkEvidence measures one failure and the verdicts that follow, with
// every bad target's failures kept.
func BenchmarkEvidence(b *testing.B) {
	for _, targets := range []int{50, 500, 5_000, 11_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			e := New(DefaultParams())
			at := time.Unix(0, 0)
			bad := max(1, targets/badPart)
			fail := func(n int) {
				e.AddAttempt(Attempt{Job: fmt.Sprint(n), Team: fmt.Sprint(n % 6), Target: fmt.Sprint(n % bad), Failed: true, At: at})
			}
			for n := range bad * failuresPerTarget {
				fail(n)
			}
			n := bad * failuresPerTarget
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
