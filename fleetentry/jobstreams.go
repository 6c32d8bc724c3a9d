package fleetentry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/provider"
)

// jobStreams hold what entries write of jobs. As a rule all write to the first. The
// store does the appends of a stream one after the other, so that on its slow days
// an append waits for those of all other entries: then each entry writes to one of
// the others, which few share.
var jobStreams = [...]string{"jobs", "jobs-1", "jobs-2", "jobs-3", "jobs-4", "jobs-5"}

const (
	// slowAppend is the time from which an append counts as slow: the store
	// answers in 4 ms as a rule.
	slowAppend = 120 * time.Millisecond
	// asideSpan is for how long after a slow append an entry writes aside.
	asideSpan = 2 * time.Second
)

// streamChoice decides to which stream an entry appends what callers ask for.
type streamChoice struct {
	aside      int
	asideUntil time.Time
}

// newStreamChoice returns the choice of the node.
func newStreamChoice(node string) streamChoice {
	others := uint64(len(jobStreams) - 1)
	return streamChoice{aside: 1 + int(xxhash.Sum64String(node)%others)}
}

// pick returns the index of the stream of the next append.
func (c *streamChoice) pick(now time.Time) int {
	if now.Before(c.asideUntil) {
		return c.aside
	}
	return 0
}

// learn takes in how long an append took and what became of it.
func (c *streamChoice) learn(now time.Time, took time.Duration, err error) {
	slow := took > slowAppend
	busy := err != nil && provider.CodeOf(err) == provider.CodeUnavailable
	if slow || busy {
		c.asideUntil = now.Add(asideSpan)
	}
}
