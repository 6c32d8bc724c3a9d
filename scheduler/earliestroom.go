package scheduler

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// expectedRelease is what a worker has free again once a run has ended.
type expectedRelease struct {
	at     time.Time
	amount fleet.Resources
}

// earliestRoom returns when the worker is expected to have room for the need in every
// resource, and what is then left beside it; not possible if tasks that do not end by
// themselves take the room.
func (s *Scheduler) earliestRoom(w *worker, need fleet.Resources, now time.Time) (at time.Time, spare fleet.Resources, possible bool) {
	free := w.free()
	if free.Fits(need) {
		return now, free.Minus(need), true
	}
	var buffer [32]expectedRelease
	releases := buffer[:0]
	for _, t := range w.tasks {
		if end := s.expectedEnd(t, now); !end.IsZero() {
			releases = append(releases, expectedRelease{at: end, amount: t.resources()})
		}
	}
	slices.SortFunc(releases, func(a, b expectedRelease) int { return a.at.Compare(b.at) })
	for _, r := range releases {
		free = free.Plus(r.amount)
		if free.Fits(need) {
			return r.at, free.Minus(need), true
		}
	}
	return time.Time{}, fleet.Resources{}, false
}
