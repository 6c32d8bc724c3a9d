package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

const (
	// wideFactor is how much more of a VM than the pool's mean running task a task must
	// need to get a reservation: one of ordinary size gets room when any other ends.
	wideFactor = 1.5
	// workersPerReservation bounds the reservations of a pool: the rest of it is never
	// kept from small work.
	workersPerReservation = 32
	// maxReservationSearches bounds for how many steps of a pool a worker to reserve is
	// searched in one round, and maxReservationCandidates the workers that are looked at
	// for each: their cost must not grow with the pool.
	maxReservationSearches   = 2
	maxReservationCandidates = 64
	// reservationPatience is how long after its time a reservation waits for its room.
	// Estimates are off by half: what should have ended 2 s ago has a tail that no one
	// should wait for.
	reservationPatience = 2 * time.Second
)

// reservation is a worker that is kept for a task of a step from a time on.
//
// It answers wide tasks among a stream of small ones: every gap is taken by a small one
// as soon as it opens, and a task that needs several gaps at once waits until the stream
// ends. Work of the same or of less priority uses the worker only if it is expected to end
// before that time, or fits beside the task (EASY backfill). The time never moves later, so
// that a task waits no longer than that and what the tasks there take beyond their
// estimates, up to reservationPatience. Reservations are soft: a new leader derives its own.
type reservation struct {
	step   *step
	need   fleet.Resources
	worker *worker
	at     time.Time
	// spare is what will be left beside the task, as reviewed at reviewedAt.
	spare      fleet.Resources
	reviewedAt time.Time
}

// excludes reports whether the reservation forbids the task, which is expected to end at
// the given time.
func (r *reservation) excludes(t *task, end time.Time) bool {
	if r.step == t.step || t.step.def.LongRunning || t.step.occurrence.job.queue.Priority < r.step.occurrence.job.queue.Priority {
		return false
	}
	return end.After(r.at) && !r.spare.Fits(t.resources())
}

// reservedForOther reports whether the worker is kept for another step.
func (w *worker) reservedForOther(st *step) bool {
	return w.reservation != nil && w.reservation.step != st
}

// reviewReservations ends the reservations that are of no use any more, and brings the
// others up to date. With the policy off there are none.
func (s *Scheduler) reviewReservations(pools map[string]*poolRound, now time.Time) {
	for st, r := range s.reservations {
		pool := pools[r.worker.info.Pool]
		if s.reservationOver(r, pool, now) {
			s.endReservation(st)
			continue
		}
		pool.reservations++
		if now.Sub(r.reviewedAt) < endsFreshFor {
			continue
		}
		at, spare, possible := s.earliestRoom(r.worker, r.need, now)
		if !possible {
			s.endReservation(st)
			continue
		}
		r.spare, r.reviewedAt = spare, now
		if at.Before(r.at) {
			r.at = at
		}
	}
}

// reservationOver reports whether the reservation is of no use any more: its step waits
// no longer, can only be late or is held up by its team's limit, the worker has left the
// pool or gets no new tasks, or the room has not come in time.
func (s *Scheduler) reservationOver(r *reservation, pool *poolRound, now time.Time) bool {
	j := r.step.occurrence.job
	switch {
	case !r.step.ready() || rankOf(r.step, 0, now).class > classTight || !j.hasTeamCapacityFor(r.need):
		return true
	case pool == nil || j.queue.Pool != r.worker.info.Pool:
		return true
	default:
		return !r.worker.schedulable(now) || r.worker.maintenanceUrgent || now.Sub(r.at) > reservationPatience
	}
}

// endReservation ends the step's reservation, if any.
func (s *Scheduler) endReservation(st *step) {
	if r, known := s.reservations[st]; known {
		r.worker.reservation = nil
		delete(s.reservations, st)
	}
}

// reserve keeps a worker for the task, for which no worker has room: the one that will
// have room soonest.
func (s *Scheduler) reserve(t *task, pool *poolRound, now time.Time) {
	st := t.step
	if _, held := s.reservations[st]; held || !pool.mayReserve(st) || rankOf(st, 0, now).class > classTight || now.Before(t.avoidUntil) {
		return
	}
	pool.reservationSearches++
	need := t.resources()
	best := s.soonestRoom(st, need, pool.workers, now)
	o := st.occurrence
	if best == nil || best.at.Add(o.remainingCriticalPath()).After(o.deadline()) {
		return
	}
	pool.reservations++
	best.step, best.need, best.reviewedAt = st, need, now
	s.reservations[st] = best
	best.worker.reservation = best
	if !st.reservedBefore {
		st.reservedBefore = true
		s.emit(Event{Kind: "step.reserved", ID: t.id.String(), Worker: best.worker.info.ID, Reason: fmt.Sprintf("%d millicores and %d MB have room in %d ms, as running tasks are expected to end", need.MilliCPU, need.MemMB, best.at.Sub(now).Milliseconds())})
	}
}

// mayReserve reports whether a step may get a reservation: one that waits for room only,
// and needs much of a VM.
func (p *poolRound) mayReserve(st *step) bool {
	if p.reservations >= max(1, len(p.workers)/workersPerReservation) || p.reservationSearches >= maxReservationSearches {
		return false
	}
	if st.def.Gang || st.def.BestEffort || waitsForMoreThanRoom(st) || !p.largest.Fits(st.def.Need) || p.running == 0 {
		return false
	}
	n := int64(p.running)
	mean := fleet.Resources{MilliCPU: p.used.MilliCPU / n, MemMB: p.used.MemMB / n}
	return float64(st.def.Need.MilliCPU) > wideFactor*float64(mean.MilliCPU) || float64(st.def.Need.MemMB) > wideFactor*float64(mean.MemMB) || st.def.Need.GPU > 0
}

// soonestRoom returns a reservation of the worker that will have room soonest; nil for
// none. A part of the workers is looked at, in no order.
func (s *Scheduler) soonestRoom(st *step, need fleet.Resources, workers []*worker, now time.Time) *reservation {
	var best *reservation
	looked := 0
	for _, w := range workers {
		if w.reservation != nil || w.maintenanceDue || !w.info.Capacity.Fits(need) || w.promised(nil, now) != (fleet.Resources{}) {
			continue
		}
		if looked++; looked > maxReservationCandidates {
			break
		}
		if at, spare, possible := s.earliestRoom(w, need, now); possible && (best == nil || at.Before(best.at)) {
			best = &reservation{worker: w, at: at, spare: spare}
		}
	}
	return best
}
