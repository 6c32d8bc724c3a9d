package fleetentry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/provider"
)

// jobStreams hold the entries' records of jobs. Normally all entries write to the
// first. The store does the appends of a stream one at a time, so that on its slow
// days an append waits for those of all other entries: then each entry writes to one
// of the others, which few share.
var jobStreams = [...]string{"jobs", "jobs-1", "jobs-2", "jobs-3", "jobs-4", "jobs-5"}

const (
	// slowAppendThreshold is the duration from which an append counts as slow: the
	// store usually responds in 4 ms.
	slowAppendThreshold = 120 * time.Millisecond
	// alternatePeriod is how long an entry uses its alternate stream after a slow
	// append.
	alternatePeriod = 2 * time.Second
)

// streamSelector selects the stream of an entry's appends: the first or its alternate.
type streamSelector struct {
	alternate      int
	alternateUntil time.Time
}

// newStreamSelector returns the selector of the node.
func newStreamSelector(node string) streamSelector {
	others := uint64(len(jobStreams) - 1)
	return streamSelector{alternate: 1 + int(xxhash.Sum64String(node)%others)}
}

// pick returns the index of the stream of the next append.
func (s *streamSelector) pick(now time.Time) int {
	if now.Before(s.alternateUntil) {
		return s.alternate
	}
	return 0
}

// observe records an append's duration and outcome.
func (s *streamSelector) observe(now time.Time, latency time.Duration, err error) {
	slow := latency > slowAppendThreshold
	unavailable := err != nil && provider.CodeOf(err) == provider.CodeUnavailable
	if slow || unavailable {
		s.alternateUntil = now.Add(alternatePeriod)
	}
}
