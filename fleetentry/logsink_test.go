package fleetentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/settings"
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

// shortReader keeps only the first bytes of each write, as a reader with a small buffer
// does that takes one write at a time.
type shortReader struct {
	buf   bytes.Buffer
	limit int
}

func (r *shortReader) Write(b []byte) (int, error) {
	r.buf.Write(b[:min(len(b), r.limit)])
	return len(b), nil
}

// TestLogSink_EveryLineIsWhole logs from many goroutines through the real logger, and
// parses every line that a reader with a small buffer gets.
func TestLogSink_EveryLineIsWhole(t *testing.T) {
	const (
		goroutines = 20
		lines      = 100
	)
	reader := &shortReader{limit: maxLogWriteBytes}
	sink := NewLogSink(reader)
	log := newLogger(settings.FleetEntry{Node: "entry-1"}, sink)
	var group sync.WaitGroup
	for i := range goroutines {
		group.Add(1)
		go func() {
			defer group.Done()
			named := log.Named("owner")
			for k := range lines {
				named.Info("task.assigned", "request", fmt.Sprintf("%d.%d", i, k), "why", strings.Repeat("x", k))
			}
		}()
	}
	group.Wait()
	sink.Close()
	got := bytes.Split(bytes.TrimSpace(reader.buf.Bytes()), []byte("\n"))
	for _, line := range got {
		require.True(t, json.Valid(line), "torn line: %s", line)
	}
	require.Len(t, got, goroutines*lines)
}

// TestLogSink_WritesWhileClosing logs on while the sink is closed, as requests in flight
// do when an entry stops (seen by the soak, seed 1009: the process ended in a panic).
func TestLogSink_WritesWhileClosing(t *testing.T) {
	for range 50 {
		sink := NewLogSink(&shortReader{limit: maxLogWriteBytes})
		var group sync.WaitGroup
		for range 4 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 200 {
					fmt.Fprintln(sink, "a line")
				}
			}()
		}
		sink.Close()
		group.Wait()
	}
}
