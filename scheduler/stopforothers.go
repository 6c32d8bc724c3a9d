package scheduler

import "time"

const (
	// maxStopsForOthers is how often one task may be stopped for other work. Each stop
	// delays its job by a stop, a resume and a wait for room: one that has given way
	// twice is finished before more is asked of it.
	maxStopsForOthers = 2
	// stopGainFactor is how many times as long as a stop and a resume a run must still
	// take for its stop to be worth it: estimates are off by up to half.
	stopGainFactor = 1.5
)

// stoppable reports whether the task's run may be stopped for other work at all, and goes
// on elsewhere from the checkpoint of its stop. A run that ends nearly as soon as the stop
// would is left alone, as are tasks that only some workers may run.
func (s *Scheduler) stoppable(t *task, now time.Time) bool {
	def := t.step.def
	j := t.step.occurrence.job
	switch {
	case t.phase != running || t.strays > 0 || j.finished || t.worker.missedPolls > 0:
		return false
	case !def.Checkpointing || def.LongRunning || def.Gang || def.BestEffort || def.HasDisruptionBudget || def.Speculative || def.RackLocal || def.Label != "":
		return false
	case j.queue.NeedsTicket || t.stopsForOthers >= maxStopsForOthers:
		return false
	}
	return s.expectedEnd(t, now).Sub(now) > time.Duration(stopGainFactor*float64(s.costOfStop()))
}

// costOfStop returns for how long a task that is stopped uses a worker without progress.
func (s *Scheduler) costOfStop() time.Duration { return s.cfg.MaxStopTime + s.cfg.RestoreTime }

// stopForOthers stops the task's run for other work. The run that ends so is no failure.
func (s *Scheduler) stopForOthers(t *task, kind, reason string, now time.Time) {
	t.stopsForOthers++
	s.emit(Event{Kind: kind, ID: t.id.String(), Worker: t.worker.info.ID, Attempt: t.attempt, Reason: reason})
	s.requestStop(t, now)
}

// endOf returns when the task's run will have ended: by itself, or by the stop that has
// been requested.
func (s *Scheduler) endOf(t *task, now time.Time) time.Time {
	if t.phase == stopping {
		return laterOf(now, t.stopRequestedAt.Add(s.cfg.MaxStopTime))
	}
	return s.expectedEnd(t, now)
}

// expectedFinish returns when the occurrence is expected to finish if nothing holds it up
// from now on, by the progress of its running tasks.
func (s *Scheduler) expectedFinish(o *occurrence, now time.Time) time.Time {
	finish := now
	var buffer [16]time.Time
	finishes := buffer[:0]
	for _, st := range o.steps {
		start := now
		for _, dependency := range st.def.DependsOn {
			start = laterOf(start, finishes[dependency])
		}
		end := start
		for _, t := range st.tasks {
			switch {
			case t.phase == done:
			case t.phase == running || t.phase == starting:
				end = laterOf(end, s.expectedEnd(t, now))
			default:
				end = laterOf(end, start.Add(st.def.Estimate()))
			}
		}
		finishes = append(finishes, end)
		finish = laterOf(finish, end)
	}
	return finish
}
