package statemachine

import (
	"fmt"
	"runtime"
	"testing"
)

// jobBodyBytes is the size of a job's body and of its answer.
const jobBodyBytes = 1024

// BenchmarkJobLifecycle measures the records of one job from acceptance to
// answer, and the memory and snapshot size per retained job.
func BenchmarkJobLifecycle(b *testing.B) {
	for _, retained := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("kept=%d", retained), func(b *testing.B) {
			before := heapInUse()
			s := New()
			for i := range retained {
				s = applyJobLifecycle(b, s, i)
			}
			heap := heapInUse() - before
			snapshot, err := EncodeSnapshot(s)
			if err != nil {
				b.Fatal(err)
			}
			n := retained
			for b.Loop() {
				applyJobLifecycle(b, s, n)
				n++
			}
			runtime.KeepAlive(s)
			b.ReportMetric(float64(heap)/float64(retained), "heap-bytes/job")
			b.ReportMetric(float64(len(snapshot))/float64(retained), "snapshot-bytes/job")
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// applyJobLifecycle returns the state after another job was accepted, started
// and answered.
func applyJobLifecycle(b *testing.B, s *State, i int) *State {
	id := fmt.Sprintf("job-%036d", i)
	commands := []Command{
		&JobAccept{ID: id, Team: "team", Queue: "w.jobs", Pools: []string{"pool-1"}, Idempotent: true, Body: incompressibleBytes(i)},
		&JobStart{ID: id, Epoch: 1, Slot: SlotLease{Target: "vm-1", Address: "http://10.0.0.1:8080", Lease: id, Record: "r"}},
		&JobAttemptFinish{ID: id, Epoch: 1, Attempt: 1, Outcome: JobAttemptAnswered, Answer: incompressibleBytes(-i)},
	}
	for k, c := range commands {
		seq := uint64(3*i + k + 1)
		next, results := s.Apply(s.NextOffset, Batch{Writer: "w", AtMS: int64(seq), Records: []Record{{Seq: seq, Command: c}}})
		if results[0].Rejection != nil {
			b.Fatal(results[0].Rejection)
		}
		s = next
	}
	return s
}

// incompressibleBytes returns bytes that do not compress well.
func incompressibleBytes(seed int) []byte {
	out := make([]byte, jobBodyBytes)
	x := uint64(seed)*0x9E3779B97F4A7C15 + 1
	for i := range out {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		out[i] = byte(x)
	}
	return out
}
