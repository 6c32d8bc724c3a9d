package scheduler

import (
	"fmt"
	"time"
)

// giveUp requeues a task whose run no report has shown to have ended by itself, and logs
// what the decision rests on.
func (s *Scheduler) giveUp(t *task, now time.Time, reason string) {
	s.requeue(t, now, reason+"; "+s.evidence(t, now))
}

// evidence describes what is known of the task's run and of its worker: the incarnation
// that is known and the one that a status has shown the run on (0 for none), when the run
// was confirmed, the worker's clock, which tells the incarnation's age, and the bound of the
// leases beside the age of the leader's term.
func (s *Scheduler) evidence(t *task, now time.Time) string {
	w := t.worker
	if w == nil {
		return "no run"
	}
	out := fmt.Sprintf("%s, incarnation %d, shown on %d", t.phase, w.info.StartedAtMillis, t.shownOn)
	if t.restored {
		out += fmt.Sprintf(", restored from incarnation %d", t.restoredOn)
	}
	if t.inDoubt {
		out += ", start in doubt"
	}
	out += ", confirmed " + ago(t.confirmedAt, now) + ", stop answered " + ago(t.absentAfter, now)
	if !w.clockAt.IsZero() {
		out += fmt.Sprintf(", clock at %d ms", w.estimatedClock(now))
	}
	return out + fmt.Sprintf(", status %s, lease of %d ms granted %s by %s, term of %d ms, list of workers %s",
		ago(w.lastPollAt, now), w.lease.duration.Milliseconds(), ago(w.lease.start, now), w.lease.cause, now.Sub(s.tookOverAt).Milliseconds(), ago(s.workersListedAt, now))
}

// ago returns how long before now the time was.
func ago(then, now time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", now.Sub(then).Milliseconds())
}

// absenceReason describes the poll that does not show the task's run.
func (t *task) absenceReason(sent, now time.Time) string {
	out := "a poll does not show the run: sent " + ago(sent, now)
	switch {
	case !t.absentAfter.IsZero():
		out += fmt.Sprintf(", %d ms after the stop was answered", sent.Sub(t.absentAfter).Milliseconds())
	case !t.confirmedAt.IsZero():
		out += fmt.Sprintf(", %d ms after the run was confirmed", sent.Sub(t.confirmedAt).Milliseconds())
	}
	return out
}
