package fleetentry

import "time"

const (
	// lookWait is how long a look at a worker with runs waits for an end. Each
	// look is priced; an end ends the wait.
	lookWait = 900 * time.Millisecond
	// lossyLookWait is the same while workers leave looks unanswered: what a lost
	// look would have told is known that much later.
	lossyLookWait = 150 * time.Millisecond
	// startingLookWait is the same while a lasting task has started and is not at
	// work: it takes about a second.
	startingLookWait = 300 * time.Millisecond
	// lossySpan is for how long after a lost call others are expected to be lost.
	lossySpan = 3 * time.Second
	// lookAnswer is how long the answer to a look may take beyond its wait: workers
	// answer in a few ms, and a busy owner reads it much later. lossyLookAnswer is the
	// same while looks are lost.
	lookAnswer      = 400 * time.Millisecond
	lossyLookAnswer = 120 * time.Millisecond
	// lookAgain is the same for the second try, which decides whether the worker
	// counts as unreachable.
	lookAgain = 450 * time.Millisecond
	// promptAnswer is how soon the second try must be answered for the first to
	// count as lost: an owner that is slow itself reads both late, and more looks
	// would make it slower.
	promptAnswer = 60 * time.Millisecond
)

// Timeouts of the tries of one order to a worker, which answers in a few ms as a
// rule. While calls are lost the first try is over soon, and the last leaves time for
// a slow answer; a busy owner that gave up early would only have more to do.
var (
	orderTimeouts      = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}
	lossyOrderTimeouts = []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}
)

// callPace decides how long calls to workers wait. One lost call tells nothing of its
// worker if the next is answered, but others will be lost, too.
type callPace struct{ lossyUntil time.Time }

func (p *callPace) lossy(now time.Time) bool { return now.Before(p.lossyUntil) }

// wait returns how long a look waits for the next end. It is short while calls are
// lost at a worker whose tasks end by themselves, and at one with lasting tasks that
// come to be at work: their steps may not miss others until that is seen.
func (p *callPace) wait(now time.Time, ends, starts bool) time.Duration {
	switch {
	case ends && p.lossy(now):
		return lossyLookWait
	case starts:
		return startingLookWait
	default:
		return lookWait
	}
}

// answer returns how long the answer to a look may take beyond its wait.
func (p *callPace) answer(now time.Time) time.Duration {
	if p.lossy(now) {
		return lossyLookAnswer
	}
	return lookAnswer
}

// orders returns the timeouts of the tries of one order.
func (p *callPace) orders(now time.Time) []time.Duration {
	if p.lossy(now) {
		return lossyOrderTimeouts
	}
	return orderTimeouts
}

// answeredAgain notes how long the answer to a second try took.
func (p *callPace) answeredAgain(now time.Time, took time.Duration) {
	if took <= promptAnswer {
		p.lossyUntil = now.Add(lossySpan)
	}
}
