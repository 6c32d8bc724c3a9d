package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkOverload plays a second of a queue's turn that asks a large pool for 1.7
// times what it can do.
func BenchmarkOverload(b *testing.B) {
	load := overload{workers: 300, cores: 16, perSecond: 420, length: time.Second, teamOf: func(r *rand.Rand) string { return "team-" + jobID(r.IntN(20)) }}
	for b.Loop() {
		load.play(b, 1)
	}
}
