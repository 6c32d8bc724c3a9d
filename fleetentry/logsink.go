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
	// maxLogWriteBytes bounds one write: a pipe takes up to this much at once, so that
	// no line is torn by another writer's or cut by a reader with a small buffer.
	maxLogWriteBytes = 4096
	// logFlushTimeout bounds how long the final flush may take.
	logFlushTimeout = 200 * time.Millisecond
)

// LogSink writes log lines in the background. A writer never blocks: lines that
// exceed the queue are counted, and the count is written once there is space.
type LogSink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewLogSink returns a sink that writes to out.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, maxQueuedLogLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line; it never fails and never blocks. Lines that are written after
// Close are lost.
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
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(logFlushTimeout):
	}
}

func (s *LogSink) run() {
	defer close(s.done)
	batch := make([]byte, 0, maxLogWriteBytes)
	for {
		select {
		case line := <-s.lines:
			batch = s.flush(s.add(batch, line))
		case <-s.closing:
			s.flush(batch)
			return
		}
	}
}

// flush writes the batch and all queued lines, and returns the empty batch.
func (s *LogSink) flush(batch []byte) []byte {
	for more := true; more; {
		select {
		case line := <-s.lines:
			batch = s.add(batch, line)
		default:
			more = false
		}
	}
	if n := s.dropped.Swap(0); n > 0 {
		batch = s.add(batch, fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"lines\":%d}\n", n))
	}
	return s.write(batch)
}

// add appends the line to the batch, which is written first if the line does not fit.
// A line longer than maxLogWriteBytes is written alone.
func (s *LogSink) add(batch, line []byte) []byte {
	if len(batch)+len(line) > maxLogWriteBytes {
		batch = s.write(batch)
	}
	return append(batch, line...)
}

// write writes the batch and returns it empty.
func (s *LogSink) write(batch []byte) []byte {
	if len(batch) > 0 {
		// A failing output cannot be reported.
		_, _ = s.out.Write(batch)
	}
	return batch[:0]
}
