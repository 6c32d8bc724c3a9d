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

// stuckOutput blocks until it is freed.
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

// TestLogSink_NeverBlocks writes more than there is room for to an output that is
// stuck, and finds the lines left out counted.
func TestLogSink_NeverBlocks(t *testing.T) {
	out := &stuckOutput{free: make(chan struct{})}
	sink := NewLogSink(out)
	const extra = 100
	began := time.Now()
	for i := range 2*logLines + extra {
		fmt.Fprintf(sink, "line %d\n", i)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	require.Positive(t, sink.Dropped())
	close(out.free)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "line 0\n") }, 5*time.Second, time.Millisecond)
	fmt.Fprintln(sink, "last")
	sink.Close()
	require.Contains(t, out.String(), "log lines were left out")
	require.Zero(t, sink.Dropped())
}
