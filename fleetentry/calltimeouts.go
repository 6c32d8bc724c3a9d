package fleetentry

import "time"

const (
	// defaultPollWait is how long a poll of a worker with runs waits for a change.
	// Each poll is priced; a change ends the wait.
	defaultPollWait = 900 * time.Millisecond
	// lossyPollWait is the same while workers leave polls unanswered: the status of a
	// lost poll is known that much later.
	lossyPollWait = 150 * time.Millisecond
	// startupPollWait is the same while a long-running task has started and is not
	// ready: it takes about a second.
	startupPollWait = 300 * time.Millisecond
	// lossyPeriod is for how long after a lost call more losses are expected.
	lossyPeriod = 3 * time.Second
	// pollResponseTimeout bounds the response to a poll beyond its wait: workers
	// respond in a few ms, and a busy leader reads it much later.
	// lossyPollResponseTimeout is the same while polls are lost.
	pollResponseTimeout      = 400 * time.Millisecond
	lossyPollResponseTimeout = 120 * time.Millisecond
	// pollRetryTimeout is the same for the retry, which decides whether the worker
	// counts as unreachable.
	pollRetryTimeout = 450 * time.Millisecond
	// maxPollResponseTimeout bounds the timeout of polls after missed ones.
	maxPollResponseTimeout = 1600 * time.Millisecond
	// promptResponse is how soon the retry must be answered for the first poll to
	// count as lost: a slow leader reads both late, and more polls would make it
	// slower.
	promptResponse = 60 * time.Millisecond
)

// Timeouts of the attempts of one request to a worker, which usually responds in a
// few ms. While calls are lost the first attempt ends soon, and the last leaves time
// for a slow response; a busy leader that timed out early would only have more to do.
var (
	defaultAttemptTimeouts = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}
	lossyAttemptTimeouts   = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}
)

// callTimeouts decides how long calls to workers wait. One lost call says nothing
// about its worker if the next is answered, but more will be lost.
type callTimeouts struct{ lossyUntil time.Time }

func (t *callTimeouts) lossy(now time.Time) bool { return now.Before(t.lossyUntil) }

// pollWait returns how long a poll waits for the next change. It is short while calls
// are lost at a worker whose tasks end by themselves, and at one whose long-running
// tasks are starting: their steps cannot spare other tasks until then.
func (t *callTimeouts) pollWait(now time.Time, finishing, starting bool) time.Duration {
	switch {
	case finishing && t.lossy(now):
		return lossyPollWait
	case starting:
		return startupPollWait
	default:
		return defaultPollWait
	}
}

// responseTimeout returns how long the response to a poll may take beyond its wait.
func (t *callTimeouts) responseTimeout(now time.Time) time.Duration {
	if t.lossy(now) {
		return lossyPollResponseTimeout
	}
	return pollResponseTimeout
}

// attemptTimeouts returns the timeouts of one request's attempts.
func (t *callTimeouts) attemptTimeouts(now time.Time) []time.Duration {
	if t.lossy(now) {
		return lossyAttemptTimeouts
	}
	return defaultAttemptTimeouts
}

// recordRetryResponse records how long a retry's response took.
func (t *callTimeouts) recordRetryResponse(now time.Time, latency time.Duration) {
	if latency <= promptResponse {
		t.lossyUntil = now.Add(lossyPeriod)
	}
}

// afterMissedPolls returns the timeout of a poll after missed ones: a worker that only
// reports late is heard before its leases expire.
func afterMissedPolls(timeout time.Duration, missed int) time.Duration {
	for ; missed > 0 && timeout < maxPollResponseTimeout; missed-- {
		timeout *= 2
	}
	return min(timeout, maxPollResponseTimeout)
}
