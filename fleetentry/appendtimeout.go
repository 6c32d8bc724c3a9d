package fleetentry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// minAppendTimeout is the shortest timeout of an append: the store usually
	// responds in 4 ms.
	minAppendTimeout = 250 * time.Millisecond
	// maxAppendTimeout is the longest: the store is up to sixty times slower on bad
	// days and does the appends of a stream one at a time, so a premature retry only
	// makes all wait longer.
	maxAppendTimeout = 2 * time.Second
	// appendTimeoutFactor multiplies the duration of the last append.
	appendTimeoutFactor = 4
)

// appendTimeout adapts the timeout of appends to how long the last ones took. Lost
// responses are retried soon, and a slow store is not flooded.
type appendTimeout struct{ current time.Duration }

// next returns the timeout of the next append.
func (t *appendTimeout) next() time.Duration { return max(t.current, minAppendTimeout) }

// recordLatency records how long an append took.
func (t *appendTimeout) recordLatency(latency time.Duration) {
	t.current = min(max(appendTimeoutFactor*latency, t.current/2, minAppendTimeout), maxAppendTimeout)
}

// recordTimeout records an append without a response in time.
func (t *appendTimeout) recordTimeout() { t.current = min(2*t.next(), maxAppendTimeout) }

// observe records the outcome of an append. Refusals are ignored.
func (t *appendTimeout) observe(latency time.Duration, err error) {
	switch {
	case err == nil:
		t.recordLatency(latency)
	case provider.OutcomeOf(err) == provider.Unknown:
		t.recordTimeout()
	}
}
