package fleetentry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLogLines is how many lines may wait to be written.
	maxQueuedLogLines = 4096
	// logFlushTimeout bounds how long the final flush may take.
	logFlushTimeout = 200 * time.Millisecond
)

// LogSink writes log lines in the background. A writer never blocks: lines that
// exceed the queue are counted, and the count is written once there is space.
type LogSink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewLogSink returns a sink that writes to out.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, maxQueuedLogLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line; it never fails and never blocks.
func (s *LogSink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many dropped lines have not been reported yet.
func (s *LogSink) Dropped() int64 { return s.dropped.Load() }

// Close flushes the queue, within logFlushTimeout.
func (s *LogSink) Close() {
	s.closeOnce.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(logFlushTimeout):
	}
}

func (s *LogSink) run() {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, open := <-s.lines:
				if !open {
					more = false
					break
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		if n := s.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"lines\":%d}\n", n)
		}
		// A failing output cannot be reported.
		_, _ = s.out.Write(batch)
	}
}
