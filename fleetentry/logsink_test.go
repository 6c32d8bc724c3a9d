package fleetentry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckOutput blocks until free is closed.
type stuckOutput struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	free chan struct{}
}

func (o *stuckOutput) Write(b []byte) (int, error) {
	<-o.free
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *stuckOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// TestLogSink_NeverBlocks writes more lines than the queue holds to a blocked output,
// and checks that dropped lines are counted.
func TestLogSink_NeverBlocks(t *testing.T) {
	output := &stuckOutput{free: make(chan struct{})}
	sink := NewLogSink(output)
	const extra = 100
	start := time.Now()
	for i := range 2*maxQueuedLogLines + extra {
		fmt.Fprintf(sink, "line %d\n", i)
	}
	require.Less(t, time.Since(start), 2*time.Second)
	require.Positive(t, sink.Dropped())
	close(output.free)
	require.Eventually(t, func() bool { return strings.Contains(output.String(), "line 0\n") }, 5*time.Second, time.Millisecond)
	fmt.Fprintln(sink, "last")
	sink.Close()
	require.Contains(t, output.String(), "log lines were dropped")
	require.Zero(t, sink.Dropped())
}
