package scheduler

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// nominate keeps the room that is being freed on the worker for the task, for as long as
// the stops there may take. Without it, a smaller task gets the room first, and the runs
// were stopped in vain. The task may start elsewhere before.
func (s *Scheduler) nominate(t *task, w *worker, now time.Time) {
	t.nominated, t.nominatedUntil = w, now.Add(s.cfg.MaxStopTime+nominationMargin)
	w.nominated = append(w.nominated, t)
}

// isNominated reports whether room is being freed for the task.
func (t *task) isNominated(now time.Time) bool {
	return t.phase == waiting && t.nominated != nil && now.Before(t.nominatedUntil)
}

// isNominatedFor reports whether room is being freed for the task on the worker.
func (t *task) isNominatedFor(w *worker, now time.Time) bool {
	return t.nominated == w && t.isNominated(now)
}

// promised returns what is kept on the worker for tasks other than the given one.
func (w *worker) promised(except *task, now time.Time) fleet.Resources {
	var out fleet.Resources
	w.nominated = slices.DeleteFunc(w.nominated, func(t *task) bool { return t.nominated != w || !t.isNominated(now) })
	for _, t := range w.nominated {
		if t != except {
			out = out.Plus(t.resources())
		}
	}
	return out
}

// stoppingUse returns what the runs use that are being stopped.
func (w *worker) stoppingUse() fleet.Resources {
	var out fleet.Resources
	for _, t := range w.tasks {
		if t.phase == stopping {
			out = out.Plus(t.resources())
		}
	}
	return out
}

// roomToCome returns what is free once the runs that are being stopped have ended, less
// what of it is promised.
func (w *worker) roomToCome(now time.Time) fleet.Resources {
	return w.free().Plus(w.stoppingUse()).Minus(w.promised(nil, now))
}

// fits reports whether the worker has room for the task beside the room that is kept for
// others. What the runs that are being stopped will free counts for those first.
func (w *worker) fits(t *task, now time.Time) bool {
	need := t.resources()
	if !w.free().Fits(need) {
		return false
	}
	if len(w.nominated) == 0 {
		return true
	}
	return w.free().Plus(w.stoppingUse()).Minus(w.promised(t, now)).Fits(need)
}
