package peer

import (
	"context"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkCall measures a heartbeat call, and the processor time of client and
// server together.
func BenchmarkCall(b *testing.B) {
	_, address := startServer(b, "127.0.0.1:0")
	client := newTestClient(b)
	req := heartbeat("entry-01-0123abcd")
	before := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		_, err := client.Call(context.Background(), address, req)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(processorTime(b)-before)/1000/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time of the process in nanoseconds.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
