package fleetentry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logLines is how many lines may wait to be written.
	logLines = 4096
	// logFlushWait is how long the lines that wait at the end may take.
	logFlushWait = 200 * time.Millisecond
)

// LogSink writes log lines in the background. A writer never waits: lines that
// find no room are counted, and the count is written once there is room.
type LogSink struct {
	out     io.Writer
	lines   chan []byte
	left    atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewLogSink returns a sink that writes to out.
func NewLogSink(out io.Writer) *LogSink {
	s := &LogSink{out: out, lines: make(chan []byte, logLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line; it never fails and never waits.
func (s *LogSink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.left.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room and have not been told of yet.
func (s *LogSink) Dropped() int64 { return s.left.Load() }

// Close writes what waits, within a bound.
func (s *LogSink) Close() {
	s.closing.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(logFlushWait):
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
		if n := s.left.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"@level\":\"warn\",\"@message\":\"log lines were left out\",\"lines\":%d}\n", n)
		}
		// There is nowhere to tell of an output that fails.
		_, _ = s.out.Write(batch)
	}
}
