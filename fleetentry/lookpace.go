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
	// lossySpan is for how long after a lost look others are expected to be lost.
	lossySpan = 3 * time.Second
	// lookAnswer is how long the answer to a look may take beyond its wait: workers
	// answer in a few ms, and a busy owner reads it somewhat later.
	lookAnswer = 120 * time.Millisecond
	// lookAgain is the same for the second try, which decides whether the worker
	// counts as unreachable.
	lookAgain = 450 * time.Millisecond
	// promptAnswer is how soon the second try must be answered for the first to
	// count as lost: an owner that is slow itself reads both late, and more looks
	// would make it slower.
	promptAnswer = 60 * time.Millisecond
)

// lookPace decides how long looks wait. One lost look tells nothing of its worker
// if the next is answered, but others will be lost, too.
type lookPace struct{ lossyUntil time.Time }

// wait returns how long a look waits for the next end. It is short while looks are
// lost at a worker whose tasks end by themselves, and at one with lasting tasks that
// come to be at work: their steps may not miss others until that is seen.
func (p *lookPace) wait(now time.Time, ends, starts bool) time.Duration {
	switch {
	case ends && now.Before(p.lossyUntil):
		return lossyLookWait
	case starts:
		return startingLookWait
	default:
		return lookWait
	}
}

// answeredAgain notes how long the answer to a second try took.
func (p *lookPace) answeredAgain(now time.Time, took time.Duration) {
	if took <= promptAnswer {
		p.lossyUntil = now.Add(lossySpan)
	}
}
