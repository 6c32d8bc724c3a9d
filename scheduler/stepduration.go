package scheduler

import "time"

const (
	// minSeenPart is the part of a step's tasks whose runs must have been seen before
	// they tell how long the step takes: its longest run decides, and the first may be
	// short ones.
	minSeenPart = 0.25
	// minSeenPartShorter is the same for a step that seems to take less than estimated: the
	// runs that end first are the short ones, and a job that is taken for shorter than it
	// is comes last.
	minSeenPartShorter = 0.5
	// maxSeenFactor bounds the seen duration as a multiple of the estimate: beyond it, a
	// slow worker is more likely than a wrong estimate.
	maxSeenFactor = 4
)

// seenRuns is how long runs of a step took, or will take by their progress. It is soft: a
// new leader believes the estimates until it has seen runs.
type seenRuns struct {
	count   int
	longest time.Duration
}

// duration returns how long the step is expected to take: as its runs show, else its
// estimate.
//
// It answers estimates that are wrong for a whole step: what a step's first runs took
// tells of the others. A job that takes longer than estimated is also given longer, so
// that it must not be taken for late.
func (s *step) duration() time.Duration {
	if seen, known := s.seenDuration(); known {
		return seen
	}
	return s.def.Estimate()
}

// seenDuration returns how long the step takes by its runs; false while too few tell.
func (s *step) seenDuration() (time.Duration, bool) {
	if s.seen.count == 0 || float64(s.seen.count) < minSeenPart*float64(len(s.tasks)) {
		return 0, false
	}
	estimate := s.def.Estimate()
	if s.seen.longest < estimate && float64(s.seen.count) < minSeenPartShorter*float64(len(s.tasks)) {
		return 0, false
	}
	return min(s.seen.longest, maxSeenFactor*estimate), true
}

// observeRun notes how long the task's run takes, once its progress tells, or once it has
// ended. Runs whose start this leader has not seen, or that resumed from a checkpoint,
// tell nothing.
func (s *Scheduler) observeRun(t *task, took time.Duration) {
	st := t.step
	if !s.cfg.Policies.Lookahead || t.confirmedAt.IsZero() || t.startedByPreviousLeader || t.resumed || st.def.LongRunning {
		return
	}
	if !t.observed {
		t.observed = true
		st.seen.count++
	}
	st.seen.longest = max(st.seen.longest, took)
	st.occurrence.pathKnown = false
}

// projectedRun returns how long the task's run takes in all by its progress; false while
// that tells too little.
func (t *task) projectedRun() (time.Duration, bool) {
	ran := t.progressAt.Sub(t.confirmedAt)
	made := t.progress - t.confirmedProgress
	if made < minRatePercent || t.progress >= 100 || ran <= 0 || t.resumed || t.startedByPreviousLeader {
		return 0, false
	}
	return ran * 100 / time.Duration(made), true
}
