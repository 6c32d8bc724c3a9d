package scheduler

import (
	"fmt"
	"sort"
	"time"
)

// Place assigns waiting tasks to workers with free capacity, most urgent first.
func (s *Scheduler) Place(now time.Time) {
	if len(s.ready) == 0 && len(s.reservations) == 0 {
		return
	}
	pools := s.newRound(now)
	s.reviewReservations(pools, now)
	s.computePressures(pools, now)
	steps := s.rankedSteps(pools, now)
	if s.cfg.Policies.Preemption {
		defer s.preempt(steps, pools, now)
	}
	for len(steps) > 0 {
		group := equalUrgency(steps)
		steps = steps[len(group):]
		s.placeGroup(group, pools, now)
	}
}

// rankedStep is a step with its rank.
type rankedStep struct {
	step *step
	rank rank
}

// rankedSteps returns the steps that have tasks to place, most urgent first.
func (s *Scheduler) rankedSteps(pools map[string]*poolRound, now time.Time) []rankedStep {
	out := make([]rankedStep, 0, len(s.ready))
	for st := range s.ready {
		if pool := pools[st.occurrence.job.queue.Pool]; pool != nil {
			out = append(out, rankedStep{step: st, rank: rankOf(st, estimateMargin(pool.pressure), now)})
			pool.addWaiting(st)
		}
	}
	for _, pool := range pools {
		if pool.steps > 0 {
			pool.findOpen()
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].rank.before(out[k].rank) })
	return out
}

// equalUrgency returns the first steps that have the same class and priority.
func equalUrgency(steps []rankedStep) []rankedStep {
	n := 1
	for n < len(steps) && steps[n].rank.class == steps[0].rank.class && steps[n].rank.priority == steps[0].rank.priority {
		n++
	}
	return steps[:n]
}

// placeGroup places steps of equal urgency: first those of teams within their share of
// the pool, then the others where there is room left. While a step within its team's
// share finds no room, the others do not get the smaller gaps, or a task that needs much
// of a VM would wait until they have all ended.
func (s *Scheduler) placeGroup(group []rankedStep, pools map[string]*poolRound, now time.Time) {
	var deferred []*step
	for _, r := range group {
		pool := pools[r.step.occurrence.job.queue.Pool]
		if !s.placeStep(r.step, pool, pool.shares, now) {
			deferred = append(deferred, r.step)
		}
	}
	for _, st := range deferred {
		if pool := pools[st.occurrence.job.queue.Pool]; !pool.blocked {
			s.placeStep(st, pool, poolShares{}, now)
		}
	}
}

// placeStep places as many tasks of the step as there is capacity for, and as its team
// may start within its share of the pool; done is false if the share kept tasks back.
func (s *Scheduler) placeStep(st *step, pool *poolRound, shares poolShares, now time.Time) (done bool) {
	s.unpinEvacuatedRack(st)
	if st.occurrence.job.queue.NeedsTicket {
		s.requestAdvice(st, pool.workers, now)
	}
	use := poolTeam{st.occurrence.job.queue.Pool, st.occurrence.job.team}
	limited := !st.def.LongRunning
	if limited && shares.exceeded(use.team, s.shortUse[use]) {
		return false
	}
	if st.def.Gang {
		s.placeGang(st, pool, now)
		return true
	}
	for _, t := range st.tasks {
		if st.waiting == 0 {
			return true
		}
		if t.phase != waiting || t.strays > 0 {
			continue
		}
		if limited && shares.exceeded(use.team, s.shortUse[use]) {
			return false
		}
		if !st.occurrence.job.hasTeamCapacityFor(st.def.Need) {
			return true
		}
		if !s.mayFit(t, pool, now) {
			s.handleNoRoom(t, pool, now)
			return true
		}
		w := s.chooseWorker(t, pool.open, pool, now)
		if w == nil {
			if t.avoid != "" {
				continue
			}
			pool.updateLargestFree()
			if s.cfg.Policies.Lookahead {
				pool.recordFailedSearch(st, t.resources(), s.expectedRun(st))
			}
			s.handleNoRoom(t, pool, now)
			return true
		}
		s.assign(t, w, now)
	}
	return true
}

// handleNoRoom follows a search that found no worker for the task.
func (s *Scheduler) handleNoRoom(t *task, pool *poolRound, now time.Time) {
	pool.recordNoRoom(t.step)
	if s.cfg.Policies.Lookahead {
		s.reserve(t, pool, now)
	}
}

// mayFit reports whether a worker of the pool may have room for the task.
func (s *Scheduler) mayFit(t *task, pool *poolRound, now time.Time) bool {
	need := t.resources()
	if !pool.mayFit(need) {
		return false
	}
	if !s.cfg.Policies.Lookahead || s.reservations[t.step] != nil || t.isNominated(now) {
		return true
	}
	return !pool.searchFails(t.step, need, s.expectedRun(t.step))
}

// assign assigns the task to the worker; its start is requested once that is stored.
func (s *Scheduler) assign(t *task, w *worker, now time.Time) {
	t.attempt++
	t.phase = persisting
	t.resumed = t.checkpoint != ""
	t.step.waiting--
	if t.step.def.RackLocal {
		t.step.rack = w.info.Rack()
	}
	t.ticket = t.step.tickets.byWorker[w.info.ID]
	t.onReplaced = w.lease.hasForeign(now)
	t.placedLate = rankOf(t.step, 0, now).class >= classLate
	s.pollBeforeStart(w, now)
	s.emit(Event{Kind: "task.assigned", ID: t.id.String(), Worker: w.info.ID, Attempt: t.attempt, Reason: t.assignmentReason(w, now)})
	s.reserveResources(t, w)
	s.noteAssignment(t, w, now)
	s.recordAssignment(t)
	s.batch.pendingStarts = append(s.batch.pendingStarts, pendingStart{task: t, attempt: t.attempt})
	s.updateReady(t.step)
}

// pollBeforeStart polls a worker without runs while its first assignment is stored. It has been
// polled seldom, and may have restarted since: the status tells before the start is sent.
func (s *Scheduler) pollBeforeStart(w *worker, now time.Time) {
	if !w.mayHaveRuns() && now.Sub(laterOf(w.lastPollAt, w.pollRequestedAt)) > statusCurrentFor {
		w.pollRequestedAt = now
		s.batch.PollBeforeStart = append(s.batch.PollBeforeStart, w.info.ID)
	}
}

// assignmentReason returns the inputs of an assignment: the slack until the job is
// late, the worker's free CPU and the age of the status that reported it.
func (t *task) assignmentReason(w *worker, now time.Time) string {
	o := t.step.occurrence
	slack := o.deadline().Sub(now.Add(o.remainingCriticalPath()))
	return fmt.Sprintf("slack %d ms, %d free millicores, status %d ms old", slack.Milliseconds(), w.free().MilliCPU, now.Sub(w.lastPollAt).Milliseconds())
}

// chooseWorker returns the best feasible worker for the task, or nil. Work that may
// keep a wide task waiting has no room on a reserved worker.
func (s *Scheduler) chooseWorker(t *task, workers []*worker, pool *poolRound, now time.Time) *worker {
	var best *worker
	bestScore := 0.0
	lookahead := s.cfg.Policies.Lookahead
	var end time.Time
	if lookahead {
		end = now.Add(s.expectedRun(t.step))
	}
	for _, w := range workers {
		if !s.isFeasible(t, w, now) || w.reservation != nil && !t.isNominatedFor(w, now) && w.reservation.excludes(t, end) {
			continue
		}
		score := scoreWorker(t, w)
		if lookahead && !t.step.def.LongRunning {
			score += s.packingScore(t, w, end, pool, now)
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// isFeasible reports whether the task may run on the worker at all.
func (s *Scheduler) isFeasible(t *task, w *worker, now time.Time) bool {
	return w.fits(t, now) && s.allows(t, w, now)
}

// allows reports whether the task may run on the worker, whatever room that has.
func (s *Scheduler) allows(t *task, w *worker, now time.Time) bool {
	def := t.step.def
	if w.cordoned {
		return false
	}
	if def.Label != "" && !w.info.HasLabel(def.Label) {
		return false
	}
	if def.MaxPerWorker > 0 && t.step.tasksByWorker[w.info.ID] >= def.MaxPerWorker {
		return false
	}
	if def.RackLocal && t.step.rack != "" && t.step.rack != w.info.Rack() {
		return false
	}
	if t.avoid == w.info.ID && now.Before(t.avoidUntil) {
		return false
	}
	if t.step.occurrence.job.queue.NeedsTicket {
		return t.step.tickets.valid(now) && t.step.tickets.byWorker[w.info.ID] != ""
	}
	return true
}

// scoreWorker rates a worker for a task; higher is better.
func scoreWorker(t *task, w *worker) float64 {
	def := t.step.def
	free := w.free().Minus(t.resources())
	score := 0.0
	if w.info.Capacity.MilliCPU > 0 {
		// Fuller workers first, so that others become empty and can be moved.
		score -= float64(free.MilliCPU) / float64(w.info.Capacity.MilliCPU)
	}
	if def.DataRack != "" && def.DataRack == w.info.Rack() {
		score += 10
	}
	if def.BestEffort || def.TailLatencyTargetMillis > 0 {
		for _, other := range w.tasks {
			if other.step.def.BestEffort != def.BestEffort && (other.step.def.LongRunning || def.BestEffort) {
				score -= 2
			}
		}
	}
	if w.maintenanceDue {
		score--
		if def.LongRunning {
			score -= 4
		}
	}
	return score
}
